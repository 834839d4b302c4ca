//! What became of one log record.

use model::Code;

/// Result of [`crate::State::apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Offset of the record.
    pub offset: u64,
    /// Proposal id; empty for records that cannot be decoded.
    pub id: String,
    /// [`Code::Accepted`] if the record changed the state, else why it did not.
    pub code: Code,
    /// Reason or further detail; may be empty.
    pub detail: String,
}

impl Applied {
    /// Whether the record changed the state.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.code == Code::Accepted
    }
}
