//! The registration of a call with the dispatcher of its service.

use std::sync::Arc;

use async_std::channel::{Receiver, unbounded};
use policy::{AttemptEnd, Event};

use crate::{
    call::{active_call::ActiveCall, exchange::Exchange},
    dispatch::{DispatchMsg, Reply},
};

/// Receives the dispatcher's replies to one call. Dropping it reports every unprocessed
/// [`Reply::Start`] as a cancelled attempt and cancels the call at the dispatcher unless `released`
/// is set.
#[derive(Debug)]
pub struct Registration {
    active_call: Arc<ActiveCall>,
    replies: Receiver<Reply>,
    /// Whether the dispatcher needs no [`Event::Cancel`], because a response arrived or the
    /// dispatcher sends no further replies to the call.
    pub released: bool,
}

impl Registration {
    /// Registers the call with its dispatcher. Returns `None` if the dispatcher task has ended.
    pub fn register(active_call: &Arc<ActiveCall>) -> Option<Self> {
        let (sender, replies) = unbounded();
        let arrive = DispatchMsg::Arrive(active_call.policy_call.clone(), sender);
        active_call.dispatcher.try_send(arrive).ok()?;
        Some(Self {
            active_call: Arc::clone(active_call),
            replies,
            released: false,
        })
    }

    /// Waits for the next reply. Returns `None` if the dispatcher has dropped the call or has ended.
    pub async fn next(&self) -> Option<Reply> {
        self.replies.recv().await.ok()
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        // After the channel is closed, the dispatcher task itself ends the attempts whose start it
        // cannot deliver.
        self.replies.close();
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Start(target) = reply {
                Exchange::new(Arc::clone(&self.active_call), target)
                    .end(AttemptEnd::Cancelled, false);
            }
        }
        if !self.released {
            let call = self.active_call.policy_call.id;
            let event = DispatchMsg::Event(Event::Cancel { call });
            let _ = self.active_call.dispatcher.try_send(event);
        }
    }
}
