//! An operator's order to move a service to a new version, and how it ended.

use model::{ServiceName, Version};
use serde::{Deserialize, Serialize};

/// A rollout as it was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceName,
    /// Version to move to.
    pub version: Version,
    /// Time allowed, in milliseconds.
    pub limit_ms: u64,
    /// Position of the order in the operator's log; tells orders apart.
    pub offset: u64,
}

/// Where a rollout stands, as all instances and the operator see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// In progress.
    Running,
    /// All traffic goes to the new version.
    Done,
    /// All traffic goes to the old version.
    Undone,
}
