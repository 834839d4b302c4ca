//! A peer's wish for slots.

use model::Time;

/// Waiting calls of a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerDemand {
    /// Calls that could start at once.
    pub(crate) waiting: u32,
    /// Those among them that may use reserved slots.
    pub(crate) tight: u32,
    /// When the wish is forgotten.
    pub(crate) until: Time,
}
