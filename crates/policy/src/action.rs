//! Outputs of a dispatcher.

use model::{Code, InstanceId, TargetId};
use wire::LoanMsg;

use crate::CallId;

/// An output of [`crate::Dispatcher::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the target. A second start of a running call is a hedge: the response of
    /// the attempt that completes first is used, and the other attempt is cancelled and reported as
    /// [`crate::AttemptEnd::Cancelled`].
    Start {
        /// The call.
        call: CallId,
        /// Where to send it.
        target: TargetId,
    },
    /// Respond to the caller that the call was refused and not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Reason of the refusal, one of the 3xxx codes.
        code: Code,
        /// Time in milliseconds after which the caller may try again.
        retry_ms: u32,
    },
    /// No further attempt of the call follows. Emitted once for each call that was started: when an
    /// attempt ends well, when its last attempt ends, or later if a retry found no slot in time.
    GiveUp {
        /// The call.
        call: CallId,
    },
    /// Send a message to a peer.
    Send {
        /// The instance that receives the message.
        to: InstanceId,
        /// The message.
        msg: LoanMsg,
    },
    /// Inform all instances that a target is draining.
    Draining {
        /// The target.
        target: TargetId,
        /// The incarnation of the target that is draining.
        incarnation: u64,
    },
}
