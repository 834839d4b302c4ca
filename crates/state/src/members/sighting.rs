//! What an instance sees of others apart from the list.

use model::{InstanceId, TargetId};
use wire::Fact;

/// An observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// A frame arrived from an instance.
    Heard {
        /// The instance.
        instance: InstanceId,
        /// Its process, from `Hello`.
        incarnation: u64,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A target answered a call, or accepted a connection.
    Answered {
        /// The target.
        target: TargetId,
    },
    /// A call to a target got no answer, or no connection could be opened.
    Failed {
        /// The target.
        target: TargetId,
    },
    /// A peer sent a fact. Only draining concerns membership.
    Fact(Fact),
}
