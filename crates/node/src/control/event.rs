//! Events for the control thread.

use async_std::channel::Sender;
use model::{InstanceId, ServiceName, TargetId};
use wire::{Fact, ListAnswer, PeerMsg, ReadAnswer};

use crate::control::Sample;

use crate::control::AdminRequest;

/// Input of the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// The log service answered a read.
    LogRead {
        /// Answer of the log service.
        answer: ReadAnswer,
        /// Receives the offset to read next.
        next: Sender<u64>,
    },
    /// An append ended. The records may or may not be in the log, even if the append succeeded:
    /// the log service may store a record incompletely.
    AppendEnded {
        /// Ids of the records.
        ids: Vec<String>,
    },
    /// The instance list was polled.
    List(ListAnswer),
    /// A peer sent a message that concerns neither loans nor idempotency keys.
    Peer {
        /// Sender.
        from: InstanceId,
        /// Message.
        msg: PeerMsg,
    },
    /// The stream to a peer was opened.
    LinkUp(InstanceId),
    /// The stream to a peer broke.
    LinkDown(InstanceId),
    /// A component of this instance established a fact.
    Fact(Fact),
    /// The administration API sent a request.
    Admin(AdminRequest),
    /// Attempts that ended while their service has a move in progress.
    Samples {
        /// Service of the attempts.
        service: ServiceName,
        /// One sample for each attempt.
        samples: Vec<Sample>,
    },
    /// Targets that did or did not respond since the last event of this kind.
    TargetResults {
        /// Targets that responded.
        responded: Vec<TargetId>,
        /// Targets that gave no response.
        failed: Vec<TargetId>,
    },
}
