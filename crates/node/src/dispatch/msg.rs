//! Messages between a dispatcher task and the calls of its service.

use std::sync::Arc;

use async_std::channel::Sender;
use model::{Code, TargetId};
use policy::{AttemptReport, Call, CallId, Event, TargetView};

/// A message to a dispatcher task.
#[derive(Debug)]
pub enum DispatchMsg {
    /// A call arrived. The dispatcher sends its replies to the sender.
    Arrive(Call, Sender<Reply>),
    /// An attempt ended.
    Ended {
        /// The call.
        call: CallId,
        /// Target of the attempt.
        target: TargetId,
        /// Route of the call: method and first segment of the path.
        route: Arc<str>,
        /// Result of the attempt.
        report: AttemptReport,
    },
    /// Any other event.
    Event(Event),
}

/// A reply of the dispatcher to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Starts an attempt with this target.
    Start(Arc<TargetView>),
    /// Refuses the call without a further attempt.
    Refuse {
        /// Result code.
        code: Code,
        /// Delay after which the caller may retry, in milliseconds.
        retry_ms: u32,
    },
    /// States that the dispatcher starts no further attempt. Running attempts may still succeed.
    GiveUp,
}
