//! Demand of a peer for slots.

use model::Time;

/// Waiting calls for which a peer wants to borrow slots.
#[derive(Clone, Debug)]
pub(crate) struct PeerDemand {
    /// Waiting calls that could start at once.
    pub(crate) waiting: u32,
    /// Those among them that belong to tight classes and may use reserved slots.
    pub(crate) tight: u32,
    /// Time at which the demand expires.
    pub(crate) until: Time,
}
