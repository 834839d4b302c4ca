//! Promises and what was seen of them.

/// What was seen of a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Measured, and kept.
    Kept,
    /// Measured, and broken.
    Broken,
    /// The running build did not do what the check needs, or the case did not come up.
    NotShown,
}

impl Verdict {
    /// Kept or broken.
    pub const fn of(kept: bool) -> Self {
        if kept { Self::Kept } else { Self::Broken }
    }

    /// As shown in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Broken => "BROKEN",
            Self::NotShown => "not shown",
        }
    }
}

/// A promise with its check.
#[derive(Clone, Debug)]
pub struct Promise {
    /// P1 to P10.
    pub name: &'static str,
    /// What is promised.
    pub text: &'static str,
    /// What was seen.
    pub verdict: Verdict,
    /// The figures behind it.
    pub seen: String,
}
