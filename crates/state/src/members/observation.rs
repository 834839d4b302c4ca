//! Observations of instances and targets, apart from the instance list.

use model::{InstanceId, TargetId};
use wire::Fact;

/// An observation of an instance or target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A frame arrived from another instance.
    FrameReceived {
        /// The instance.
        instance: InstanceId,
        /// Incarnation of its process, from `Hello`.
        incarnation: u64,
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// A target responded to a call or accepted a connection.
    TargetResponded {
        /// The target.
        target: TargetId,
    },
    /// A call to a target got no response, or no connection could be opened.
    TargetFailed {
        /// The target.
        target: TargetId,
    },
    /// A peer sent a fact. Only `Draining` concerns membership; other facts are ignored.
    Fact(Fact),
}
