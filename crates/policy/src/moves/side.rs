//! The two versions of a move.

/// Which version served a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The version before the move.
    Old,
    /// The version moved to.
    New,
}

impl Side {
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}
