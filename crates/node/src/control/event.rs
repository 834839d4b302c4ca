//! Events for the control thread.

use async_std::channel::Sender;
use model::{InstanceId, ServiceName, TargetId};
use wire::{Fact, ListAnswer, PeerMsg, ReadAnswer};

use crate::control::Sample;

use crate::control::AdminRequest;

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A read of the log, and where to send the offset to read next.
    LogRead {
        /// The answer.
        answer: ReadAnswer,
        /// Gets the offset to read next.
        next: Sender<u64>,
    },
    /// An append ended. The records may be in the log or not, also after an answer: the log service
    /// may store a record torn.
    AppendEnded {
        /// The records' ids.
        ids: Vec<String>,
    },
    /// A poll of the instance list.
    List(ListAnswer),
    /// A message of a peer that does not concern loans.
    Peer {
        /// The peer.
        from: InstanceId,
        /// The message.
        msg: PeerMsg,
    },
    /// The stream to a peer was opened.
    LinkUp(InstanceId),
    /// The stream to a peer broke.
    LinkDown(InstanceId),
    /// A fact became known here.
    Fact(Fact),
    /// The administration API asks for something.
    Admin(AdminRequest),
    /// Calls that ended while their service has a move in progress.
    Samples {
        /// Service of the calls.
        service: ServiceName,
        /// The calls.
        samples: Vec<Sample>,
    },
    /// What calls showed about targets since the last event of this kind.
    Sightings {
        /// Targets that responded.
        answered: Vec<TargetId>,
        /// Targets that gave no response.
        failed: Vec<TargetId>,
    },
}
