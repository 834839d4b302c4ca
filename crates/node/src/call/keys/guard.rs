//! Guard of a claimed key. It reports the outcome of the call to the holders of the key.

use std::sync::Arc;

use model::InstanceId;
use wire::{KeyHash, KeyState, PeerMsg};

use crate::{call::keys::Keys, context::Context, peer::Peers};

/// A claimed key. Dropping it reports the outcome of the call, which is unknown unless
/// [`KeyGuard::end`] was called.
#[derive(Debug)]
pub struct KeyGuard {
    keys: Keys,
    peers: Arc<Peers>,
    key: KeyHash,
    holders: Vec<InstanceId>,
    outcome: KeyState,
}

impl KeyGuard {
    /// Creates the guard of a key that was claimed at this instance.
    pub fn new(ctx: &Context, key: KeyHash) -> Self {
        Self {
            keys: ctx.keys.clone(),
            peers: Arc::clone(&ctx.peers),
            key,
            holders: Vec::new(),
            outcome: KeyState::Unknown,
        }
    }

    /// Adds a holder before the claim is sent to it. The claim may have succeeded there even if its
    /// reply is lost.
    pub fn add_holder(&mut self, holder: &InstanceId) {
        self.holders.push(holder.clone());
    }

    /// Removes the last added holder, at which another call has claimed the key.
    pub fn remove_last_holder(&mut self) {
        self.holders.pop();
    }

    /// Reports the outcome of the call. [`KeyState::Fresh`] frees the key of a call that was not run.
    pub fn end(mut self, state: KeyState) {
        self.outcome = state;
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        self.keys.end(self.key, self.outcome);
        for holder in &self.holders {
            let (key, state) = (self.key, self.outcome);
            self.peers.send(holder, PeerMsg::KeyEnd { key, state });
        }
    }
}
