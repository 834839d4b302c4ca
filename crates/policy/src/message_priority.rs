//! How much of the message budget a message may use.

/// MessagePriority of a message. Less urgent ones stop while the bucket still has tokens for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessagePriority {
    /// Gives slots back or hands targets over.
    Essential,
    /// Asks for or grants a slot.
    Normal,
    /// Recalls a loan for own waiting calls. Without it, borrowers use loans again, which needs no
    /// messages.
    Optional,
}

impl MessagePriority {
    /// Share of the burst that stays for more urgent messages.
    pub(crate) const fn reserved_share(self) -> f64 {
        match self {
            Self::Essential => 0.0,
            Self::Normal => 0.25,
            Self::Optional => 0.5,
        }
    }
}
