//! What a dispatcher asks its surroundings to do.

use model::{Code, InstanceId, TargetId};
use wire::LoanMsg;

use crate::CallId;

/// An output of [`crate::Dispatcher::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the target. A second start of a running call is a hedge: the first attempt
    /// with a whole answer wins, and the other is cancelled and reported as [`crate::AttemptEnd::Cancelled`].
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
    /// No further attempt follows. Sent once for each call that was started: with its first good end,
    /// with the end of its last attempt, or later, if a retry waited for a slot in vain.
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
