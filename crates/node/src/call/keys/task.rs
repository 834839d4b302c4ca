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

/// A message to the task.
#[derive(Debug)]
enum KeyMsg {
    /// Claims a key at this instance. The state before the claim is sent to the sender.
    Claim(KeyHash, oneshot::Sender<Option<KeyState>>),
    /// Records the outcome of the call with a claimed key.
    End(KeyHash, KeyState),
    /// Registers a claim at another holder by its sequence number.
    AwaitReply(u64, oneshot::Sender<KeyState>),
    /// The reply of another holder to a claim.
    Reply(u64, KeyState),
    /// Removes a claim that no longer waits for a reply.
    RemoveClaim(u64),
}

/// Handle of the task that owns the table.
#[derive(Clone, Debug)]
pub struct Keys {
    claims: Sender<KeyMsg>,
    updates: Sender<KeyMsg>,
    next_seq: Arc<AtomicU64>,
}

impl Keys {
    /// Starts the task. It ends with the last clone of the result.
    pub fn start(clock: Clock) -> Self {
        let (claims, claim_receiver) = bounded(MAX_QUEUED_CLAIMS);
        // All other messages belong to accepted claims and must not be refused, so this channel is
        // unbounded.
        let (updates, update_receiver) = unbounded();
        task::spawn(run(clock, claim_receiver, update_receiver));
        Self {
            claims,
            updates,
            next_seq: Arc::new(AtomicU64::new(1)),
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
        let _ = self.updates.try_send(KeyMsg::End(key, state));
    }

    /// Registers a claim at another holder. Returns its sequence number and the receiver for the
    /// holder's reply.
    pub fn register_claim(&self) -> (u64, oneshot::Receiver<KeyState>) {
        let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let _ = self.updates.try_send(KeyMsg::AwaitReply(seq, sender));
        (seq, receiver)
    }

    /// Passes the reply of another holder to the claim that waits for it.
    pub fn deliver_reply(&self, seq: u64, state: KeyState) {
        let _ = self.updates.try_send(KeyMsg::Reply(seq, state));
    }

    /// Removes a claim that no longer waits for a reply.
    pub fn remove_claim(&self, seq: u64) {
        let _ = self.updates.try_send(KeyMsg::RemoveClaim(seq));
    }
}

async fn run(clock: Clock, claims: Receiver<KeyMsg>, updates: Receiver<KeyMsg>) {
    let mut table = KeyTable::default();
    let mut pending_claims = HashMap::new();
    let mut messages = futures::stream::select(claims, updates);
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
            KeyMsg::AwaitReply(seq, reply) => {
                pending_claims.insert(seq, reply);
            }
            KeyMsg::Reply(seq, state) => {
                if let Some(reply) = pending_claims.remove(&seq) {
                    let _ = oneshot::Sender::send(reply, state);
                }
            }
            KeyMsg::RemoveClaim(seq) => {
                pending_claims.remove(&seq);
            }
        }
    }
}

#[cfg(test)]
mod tests;
