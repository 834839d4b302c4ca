//! The task that owns the table of keys and the claims that wait for other holders. Calls and peer
//! streams reach it over channels, so that no lock is taken on the call path.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use async_std::{
    channel::{Receiver, Sender, bounded, unbounded},
    task,
};
use futures::channel::oneshot;
use wire::{KeyHash, KeyState};

use crate::{call::keys::table::KeyTable, clock::Clock};

/// Claims that may wait for the task.
const QUEUE: usize = 1_024;

#[derive(Debug)]
enum KeyMsg {
    Claim(KeyHash, oneshot::Sender<Option<KeyState>>),
    End(KeyHash, KeyState),
    Expect(u64, oneshot::Sender<KeyState>),
    Answer(u64, KeyState),
    Forget(u64),
}

/// The way to the task that owns the table.
#[derive(Clone, Debug)]
pub struct Keys {
    claims: Sender<KeyMsg>,
    rest: Sender<KeyMsg>,
    next: Arc<AtomicU64>,
}

impl Keys {
    /// Starts the task. It ends with the last clone of the result.
    pub fn start(clock: Clock) -> Self {
        let (claims, claim_receiver) = bounded(QUEUE);
        // Everything else follows from claims that were taken and is never refused.
        let (rest, rest_receiver) = unbounded();
        task::spawn(run(clock, claim_receiver, rest_receiver));
        Self {
            claims,
            rest,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// State of `key` here before this claim; `None` if the table or the queue is full.
    pub async fn claim(&self, key: KeyHash) -> Option<KeyState> {
        let (reply, state) = oneshot::channel();
        self.claims.try_send(KeyMsg::Claim(key, reply)).ok()?;
        state.await.ok()?
    }

    /// Reports how the call with a claimed key ended.
    pub fn end(&self, key: KeyHash, state: KeyState) {
        let _ = self.rest.try_send(KeyMsg::End(key, state));
    }

    /// A number for a claim at another holder, and the way by which its answer comes.
    pub fn expect(&self) -> (u64, oneshot::Receiver<KeyState>) {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let _ = self.rest.try_send(KeyMsg::Expect(seq, reply));
        (seq, answer)
    }

    /// Takes the answer of another holder.
    pub fn answer(&self, seq: u64, state: KeyState) {
        let _ = self.rest.try_send(KeyMsg::Answer(seq, state));
    }

    /// No answer is awaited any more.
    pub fn forget(&self, seq: u64) {
        let _ = self.rest.try_send(KeyMsg::Forget(seq));
    }
}

async fn run(clock: Clock, claims: Receiver<KeyMsg>, rest: Receiver<KeyMsg>) {
    let mut table = KeyTable::default();
    let mut awaited = HashMap::new();
    let mut messages = futures::stream::select(claims, rest);
    while let Some(message) = futures::StreamExt::next(&mut messages).await {
        match message {
            KeyMsg::Claim(key, reply) => {
                let state = table.claim(clock.now(), key);
                // A claimant that went away does not send the call.
                if reply.send(state).is_err() && state == Some(KeyState::Fresh) {
                    table.end(&key, KeyState::Fresh);
                }
            }
            KeyMsg::End(key, state) => table.end(&key, state),
            KeyMsg::Expect(seq, reply) => {
                awaited.insert(seq, reply);
            }
            KeyMsg::Answer(seq, state) => {
                if let Some(reply) = awaited.remove(&seq) {
                    let _ = oneshot::Sender::send(reply, state);
                }
            }
            KeyMsg::Forget(seq) => {
                awaited.remove(&seq);
            }
        }
    }
}

#[cfg(test)]
mod tests;
