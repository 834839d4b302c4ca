//! Whether an instance reaches the targets of a service.

/// Whether an instance reaches the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contact {
    /// It does, as far as it knows.
    #[default]
    Reached,
    /// Several targets in a row have not answered on open connections; new ones were not tried yet.
    Doubtful,
    /// Several targets in a row, or most of them, could not be connected to.
    Lost,
}

impl Contact {
    /// Returns the name of the state in explanations.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::Doubtful => "doubtful",
            Self::Lost => "lost",
        }
    }
}
