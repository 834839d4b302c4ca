//! Events for the control thread.

use model::{InstanceId, ServiceName};
use wire::{Fact, ListAnswer, LoanMsg, LogEntry};

use crate::control::AdminRequest;

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// Records read from the log or a peer, in offset order.
    Records(Vec<LogEntry>),
    /// A poll of the instance list.
    List(ListAnswer),
    /// A dispatcher has a message for a peer.
    SendLoan {
        /// The peer.
        to: InstanceId,
        /// Service of the dispatcher.
        service: ServiceName,
        /// The message.
        msg: LoanMsg,
    },
    /// A fact became known here.
    Fact(Fact),
    /// The administration API asks for something.
    Admin(AdminRequest),
}
