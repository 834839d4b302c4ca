//! What the evidence says about a move.

/// Result of [`crate::moves::assess`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Assessment {
    /// Not enough evidence at the current share.
    #[default]
    Inconclusive,
    /// The new version is as good as the old one at the current share.
    Good,
    /// The new version is worse. Final for the move.
    Bad {
        /// `errors` or `slow`, followed by `:route` if one route showed it.
        reason: String,
    },
}
