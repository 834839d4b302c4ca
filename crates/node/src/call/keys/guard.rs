//! A claimed key, whose holders are told how its call ended.

use std::sync::Arc;

use model::InstanceId;
use wire::{KeyHash, KeyState, PeerMsg};

use crate::{call::keys::Keys, context::Context, peer::Peers};

/// Holds a claimed key. The call's outcome is unknown unless [`KeyGuard::end`] says otherwise.
#[derive(Debug)]
pub struct KeyGuard {
    keys: Keys,
    peers: Arc<Peers>,
    key: KeyHash,
    holders: Vec<InstanceId>,
    end: KeyState,
}

impl KeyGuard {
    /// A key that was claimed at this instance.
    pub fn new(ctx: &Context, key: KeyHash) -> Self {
        Self {
            keys: ctx.keys.clone(),
            peers: Arc::clone(&ctx.peers),
            key,
            holders: Vec::new(),
            end: KeyState::Unknown,
        }
    }

    /// Adds a holder that is about to be asked. One that does not answer may hold the key all the
    /// same.
    pub fn add_holder(&mut self, holder: &InstanceId) {
        self.holders.push(holder.clone());
    }

    /// Removes the holder asked last, which holds the key for another call.
    pub fn withdraw_last(&mut self) {
        self.holders.pop();
    }

    /// How the call ended; [`KeyState::Fresh`] frees the key of a call that was not run.
    pub fn end(mut self, state: KeyState) {
        self.end = state;
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        self.keys.end(self.key, self.end);
        for holder in &self.holders {
            let (key, state) = (self.key, self.end);
            self.peers.send(holder, PeerMsg::KeyEnd { key, state });
        }
    }
}
