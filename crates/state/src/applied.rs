//! Result of applying one log record.

use model::Code;

/// Result of [`crate::State::apply`] for one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Offset of the record.
    pub offset: u64,
    /// Proposal id; empty if the record was not decoded.
    pub id: String,
    /// [`Code::Accepted`] if the record was accepted, otherwise the reason for which it was not.
    pub code: Code,
    /// Further detail on the code; may be empty.
    pub detail: String,
}

impl Applied {
    /// Returns whether the record was accepted.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.code == Code::Accepted
    }
}
