//! Result of comparing the two versions of a move.

/// Result of [`crate::moves::assess`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Assessment {
    /// There is not enough evidence at the current share.
    #[default]
    Inconclusive,
    /// The new version is as good as the old one at the current share.
    Good,
    /// The new version is worse than the old one. This result is final for the move.
    Bad {
        /// `errors` or `slow`, followed by `:route` if the fault was found on a single route.
        reason: String,
    },
}
