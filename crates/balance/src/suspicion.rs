//! What is known of a request near crashes of targets.

/// What is known of a request near crashes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No target has crashed while it ran the request, or the request has run well since.
    Clear,
    /// Targets have crashed while they ran it, too few to be sure that it is the cause.
    Suspected {
        /// Number of processes that crashed.
        crashes: usize,
    },
    /// The request crashes targets and is refused.
    Confirmed {
        /// Time for which it is still refused, in microseconds.
        left_us: u64,
    },
}

impl Suspicion {
    /// Whether the request may be sent to another target by the instance that saw it fail, or be
    /// hedged. After two crashes a third target is at stake, whose crash confirms the request.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Clear | Self::Suspected { crashes: 1 })
    }

    /// Returns the time for which the request is still refused, in microseconds.
    #[must_use]
    pub fn left_us(self) -> Option<u64> {
        match self {
            Self::Confirmed { left_us } => Some(left_us),
            _ => None,
        }
    }

    /// Returns the number of processes that crashed, as far as it is told apart.
    #[must_use]
    pub fn crashes(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspected { crashes } => crashes,
            Self::Confirmed { .. } => 3,
        }
    }
}
