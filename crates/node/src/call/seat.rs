//! A call's place at its dispatcher.

use std::sync::Arc;

use async_std::channel::{Receiver, unbounded};
use policy::{AttemptEnd, Event};

use crate::{
    call::{exchange::Exchange, job::Job},
    dispatch::{DispatchMsg, Reply},
};

/// Receives the dispatcher's replies. When dropped, starts that were not taken over are ended, and
/// the dispatcher learns that the call is gone unless it knows.
#[derive(Debug)]
pub struct Seat {
    job: Arc<Job>,
    replies: Receiver<Reply>,
    /// The dispatcher expects nothing more of the call.
    pub known: bool,
}

impl Seat {
    /// Announces the call to its dispatcher; `None` if that has ended.
    pub fn take(job: &Arc<Job>) -> Option<Self> {
        let (sender, replies) = unbounded();
        let arrive = DispatchMsg::Arrive(job.call.clone(), sender);
        job.dispatcher.try_send(arrive).ok()?;
        Some(Self {
            job: Arc::clone(job),
            replies,
            known: false,
        })
    }

    /// The next reply; `None` if the dispatcher has ended.
    pub async fn next(&self) -> Option<Reply> {
        self.replies.recv().await.ok()
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        // Once closed, the dispatcher's task ends further starts itself.
        self.replies.close();
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Start(target) = reply {
                Exchange::new(Arc::clone(&self.job), target).end(AttemptEnd::Cancelled, false);
            }
        }
        if !self.known {
            let call = self.job.call.id;
            let event = DispatchMsg::Event(Event::Cancel { call });
            let _ = self.job.dispatcher.try_send(event);
        }
    }
}
