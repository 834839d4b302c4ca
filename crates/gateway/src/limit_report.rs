//! Report of an instance on the limit that a target states.

use model::TargetId;
use serde::{Deserialize, Serialize};

/// Report on the limit that one target states. The order and the types of the fields are the wire
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Target that states the limit.
    pub target: TargetId,
    /// Start of the target's process, as in its entry. The limit does not apply to a later process
    /// of the same name.
    pub born: u64,
    /// Requests a second from all instances together; `None` if there is no limit any more.
    pub rate: Option<f64>,
    /// Time since the response that says so, in milliseconds.
    pub age_ms: u64,
}
