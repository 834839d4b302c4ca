//! The task that owns the table of keys and the claims that wait for replies of other holders. Calls
//! and peer streams send it messages over channels, so that the call path takes no lock.

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

/// Maximum number of claims that are queued for the task.
const MAX_QUEUED_CLAIMS: usize = 1_024;

#[derive(Debug)]
enum KeyMsg {
    Claim(KeyHash, oneshot::Sender<Option<KeyState>>),
    End(KeyHash, KeyState),
    Expect(u64, oneshot::Sender<KeyState>),
    Answer(u64, KeyState),
    Forget(u64),
}

/// Handle of the task that owns the table.
#[derive(Clone, Debug)]
pub struct Keys {
    claims: Sender<KeyMsg>,
    rest: Sender<KeyMsg>,
    next: Arc<AtomicU64>,
}

impl Keys {
    /// Starts the task. It ends with the last clone of the result.
    pub fn start(clock: Clock) -> Self {
        let (claims, claim_receiver) = bounded(MAX_QUEUED_CLAIMS);
        // All other messages belong to accepted claims and must not be refused, so this channel is
        // unbounded.
        let (rest, rest_receiver) = unbounded();
        task::spawn(run(clock, claim_receiver, rest_receiver));
        Self {
            claims,
            rest,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Claims `key` at this instance and returns its state before the claim. Returns `None` if the table
    /// or the queue is full.
    pub async fn claim(&self, key: KeyHash) -> Option<KeyState> {
        let (reply, state) = oneshot::channel();
        self.claims.try_send(KeyMsg::Claim(key, reply)).ok()?;
        state.await.ok()?
    }

    /// Records the outcome of the call with a claimed key.
    pub fn end(&self, key: KeyHash, state: KeyState) {
        let _ = self.rest.try_send(KeyMsg::End(key, state));
    }

    /// Registers a claim at another holder. Returns its sequence number and the receiver for the
    /// holder's reply.
    pub fn expect(&self) -> (u64, oneshot::Receiver<KeyState>) {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let _ = self.rest.try_send(KeyMsg::Expect(seq, reply));
        (seq, answer)
    }

    /// Passes the reply of another holder to the claim that waits for it.
    pub fn answer(&self, seq: u64, state: KeyState) {
        let _ = self.rest.try_send(KeyMsg::Answer(seq, state));
    }

    /// Removes a claim that no longer waits for a reply.
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
                // Frees the key if the claiming call is gone, because it is then not sent.
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
