//! The two versions of a move.

/// One of the two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The version that the service leaves.
    Old,
    /// The version that the service moves to.
    New,
}

impl Side {
    /// Returns the index of this version in arrays that hold one entry for each version.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}
