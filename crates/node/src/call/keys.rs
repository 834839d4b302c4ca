//! Idempotency keys. A task owns the table of keys claimed at this instance; calls reach it over a
//! channel. A claim covers this instance only; [`claim`] is the place for claims at other holders.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task,
};
use futures::channel::oneshot;
use model::Time;
use wire::KeyState;

use crate::{clock::Clock, context::Context};

/// Time for which a key is kept after its claim, in milliseconds.
const KEEP_MS: u64 = 10 * 60 * 1_000;
/// Most keys kept. At 100 keyed calls each second, 10 minutes hold 60,000; with keys of at most 256
/// bytes the table takes less than 32 MB.
const MAX_KEYS: usize = 64 * 1024;
/// Claims that may wait for the task.
const QUEUE: usize = 1_024;

/// Result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The call may be sent. The guard reports how it ended.
    New(KeyGuard),
    /// The key was used before.
    Repeated(KeyState),
    /// The key could not be checked.
    Unchecked,
}

/// Holds a claimed key. The call's outcome is unknown unless [`KeyGuard::end`] says otherwise.
#[derive(Debug)]
pub struct KeyGuard {
    keys: Keys,
    key: String,
    end: KeyState,
}

impl KeyGuard {
    /// How the call ended; [`KeyState::Fresh`] frees the key of a call that was not run.
    pub fn end(mut self, state: KeyState) {
        self.end = state;
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        self.keys.end(std::mem::take(&mut self.key), self.end);
    }
}

/// Claims `key`, which is service, class and key joined by `/`, before its call is sent.
pub async fn claim(ctx: &Context, key: String) -> Claim {
    match ctx.keys.claim(key.clone()).await {
        Some(KeyState::Fresh) => Claim::New(KeyGuard {
            keys: ctx.keys.clone(),
            key,
            end: KeyState::Unknown,
        }),
        Some(state) => Claim::Repeated(state),
        None => Claim::Unchecked,
    }
}

#[derive(Debug)]
enum KeyMsg {
    Claim(String, oneshot::Sender<Option<KeyState>>),
    End(String, KeyState),
}

/// The way to the task that owns the table.
#[derive(Clone, Debug)]
pub struct Keys {
    sender: Sender<KeyMsg>,
    ends: Sender<KeyMsg>,
}

impl Keys {
    /// Starts the task. It ends with the last clone of the result.
    pub fn start(clock: Clock) -> Self {
        let (sender, receiver) = bounded(QUEUE);
        // Ends are never refused: there is at most one for each claim.
        let (ends, end_receiver) = async_std::channel::unbounded();
        task::spawn(run(clock, receiver, end_receiver));
        Self { sender, ends }
    }

    /// State of `key` before this claim; `None` if the table or the queue is full.
    pub async fn claim(&self, key: String) -> Option<KeyState> {
        let (reply, state) = oneshot::channel();
        self.sender.try_send(KeyMsg::Claim(key, reply)).ok()?;
        state.await.ok()?
    }

    /// Reports how the call with a claimed key ended.
    pub fn end(&self, key: String, state: KeyState) {
        let _ = self.ends.try_send(KeyMsg::End(key, state));
    }
}

async fn run(clock: Clock, claims: Receiver<KeyMsg>, ends: Receiver<KeyMsg>) {
    let mut table = KeyTable::default();
    let mut messages = futures::stream::select(claims, ends);
    while let Some(message) = futures::StreamExt::next(&mut messages).await {
        match message {
            KeyMsg::Claim(key, reply) => {
                let state = table.claim(clock.now(), key.clone());
                // A claimant that went away does not send the call.
                if reply.send(state).is_err() && state == Some(KeyState::Fresh) {
                    table.end(&key, KeyState::Fresh);
                }
            }
            KeyMsg::End(key, state) => table.end(&key, state),
        }
    }
}

/// Claimed keys, bounded by number and age.
#[derive(Debug, Default)]
struct KeyTable {
    states: HashMap<Arc<str>, (Time, KeyState)>,
    by_age: VecDeque<(Time, Arc<str>)>,
}

impl KeyTable {
    /// State before this claim. A full table refuses new keys: forgetting one early would let its
    /// call run twice.
    fn claim(&mut self, now: Time, key: String) -> Option<KeyState> {
        self.expire(now);
        if let Some((_, state)) = self.states.get(key.as_str()) {
            return Some(*state);
        }
        if self.by_age.len() >= MAX_KEYS {
            return None;
        }
        let key: Arc<str> = key.into();
        self.states
            .insert(Arc::clone(&key), (now, KeyState::Running));
        self.by_age.push_back((now, key));
        Some(KeyState::Fresh)
    }

    fn end(&mut self, key: &str, state: KeyState) {
        if state == KeyState::Fresh {
            self.states.remove(key);
        } else if let Some((_, held)) = self.states.get_mut(key) {
            *held = state;
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some((since, key)) = self.by_age.front() {
            if now < since.plus_ms(KEEP_MS) {
                return;
            }
            // A freed key may have been claimed again since.
            if self.states.get(key).is_some_and(|(at, _)| at == since) {
                self.states.remove(key);
            }
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
