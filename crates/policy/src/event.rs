//! What happens to a dispatcher.

use std::sync::Arc;

use model::{InstanceId, TargetId};
use wire::LoanMsg;

use crate::{AttemptReport, Call, CallId, ServiceView};

/// An input of [`crate::Dispatcher::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrive(Call),
    /// An attempt that was started has ended. Every [`crate::Action::Start`] is followed by exactly
    /// one of these.
    Finish {
        /// The call.
        call: CallId,
        /// Where the attempt ran.
        target: TargetId,
        /// How it ended.
        report: AttemptReport,
    },
    /// The caller went away. Attempts in progress still end with `Finish`.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// A peer sent a message.
    Peer {
        /// The peer.
        from: InstanceId,
        /// Its message.
        msg: LoanMsg,
    },
    /// The stream to a peer broke; messages may have been lost.
    PeerDown {
        /// The peer.
        peer: InstanceId,
    },
    /// Configuration or membership changed.
    View(Arc<ServiceView>),
    /// Time passed. Sent at least every 5 ms while calls wait and every 100 ms otherwise.
    Tick,
}
