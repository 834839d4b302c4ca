//! Inputs of a dispatcher.

use std::sync::Arc;

use model::{InstanceId, TargetId};
use wire::LoanMsg;

use crate::{AttemptReport, Call, CallId, ServiceView};

/// An input of [`crate::Dispatcher::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrive(Call),
    /// An attempt ended. Every [`crate::Action::Start`] is followed by exactly one such event.
    Finish {
        /// The call.
        call: CallId,
        /// The target of the attempt.
        target: TargetId,
        /// How the attempt ended.
        report: AttemptReport,
    },
    /// The caller disconnected. Attempts in progress still end with [`Event::Finish`].
    Cancel {
        /// The call.
        call: CallId,
    },
    /// A message of a peer arrived.
    Peer {
        /// The peer that sent it.
        from: InstanceId,
        /// Its message.
        msg: LoanMsg,
    },
    /// The connection to a peer was lost, and messages with it perhaps.
    PeerDown {
        /// The peer.
        peer: InstanceId,
    },
    /// The configuration or membership of the service changed.
    View(Arc<ServiceView>),
    /// Time has passed. To be sent at least every 5 ms while calls wait and every 100 ms otherwise.
    Tick,
}
