//! Messages of a dispatcher task.

use std::sync::Arc;

use async_std::channel::Sender;
use model::{Code, TargetId};
use policy::{AttemptReport, Call, CallId, Event, TargetView};

/// What a dispatcher task is told.
#[derive(Debug)]
pub enum DispatchMsg {
    /// A call arrived; its replies go to the sender.
    Arrive(Call, Sender<Reply>),
    /// An attempt ended.
    Ended {
        /// The call.
        call: CallId,
        /// Where the attempt ran.
        target: TargetId,
        /// Method and first segment of the path.
        route: Arc<str>,
        /// How it ended.
        report: AttemptReport,
    },
    /// Any other event.
    Event(Event),
}

/// What a call is told.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Send the call to this target.
    Start(Arc<TargetView>),
    /// Answer that the call was not run.
    Refuse {
        /// Result code.
        code: Code,
        /// When another try makes sense, in milliseconds.
        retry_ms: u32,
    },
    /// No further attempt follows the one reported last.
    GiveUp,
}
