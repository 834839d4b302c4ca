//! An operator's order to move a service to a new version, and the verdict on it.

use model::{ServiceName, Version};
use serde::{Deserialize, Serialize};

use crate::Position;

/// A rollout as the operator ordered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service that changes its version.
    pub service: ServiceName,
    /// Version to move to.
    pub version: Version,
    /// Time limit of the rollout, in milliseconds.
    pub limit_ms: u64,
    /// Position of the order among the operator's records; identifies the order.
    pub position: Position,
}

impl RolloutOrder {
    /// Returns whether `other` moves the same service to the same version in the same time.
    #[must_use]
    pub fn is_same_move(&self, other: &Self) -> bool {
        let position = self.position;
        *self
            == Self {
                position,
                ..other.clone()
            }
    }
}

/// State of a rollout that all instances and the operator agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The rollout is in progress.
    Running,
    /// The rollout is complete: all requests go to the new version.
    Done,
    /// The rollout was rolled back: all requests go to the old version.
    Undone,
}
