//! What a dispatcher asks its surroundings to do.

use model::{Code, InstanceId, TargetId};
use wire::LoanMsg;

use crate::CallId;

/// An output of [`crate::Dispatcher::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the target. A second start of a running call is a hedge.
    Start {
        /// The call.
        call: CallId,
        /// Where to send it.
        target: TargetId,
    },
    /// Answer that the call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// One of the 3xxx codes.
        code: Code,
        /// When another try makes sense, in milliseconds.
        retry_ms: u32,
    },
    /// No further attempt follows the one whose end was just reported.
    GiveUp {
        /// The call.
        call: CallId,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        msg: LoanMsg,
    },
    /// Tell all instances that a target is draining.
    Draining {
        /// The target.
        target: TargetId,
        /// Its process.
        incarnation: u64,
    },
}
