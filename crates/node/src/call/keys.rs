//! Idempotency keys. A key is claimed at this instance and then, one after the other, at its two
//! holders: the live instances of the region that rank highest for it by rendezvous hashing. A repeated
//! call at any instance is detected by at least one of them.

mod guard;
mod table;
mod task;

use std::time::Duration;

use async_std::future::timeout;
use model::{InstanceId, rendezvous};
use sha2::{Digest, Sha256};
use wire::{KeyHash, KeyState, PeerMsg};

use crate::context::Context;

pub use self::{guard::KeyGuard, task::Keys};

/// Number of holders of a key.
const HOLDERS: usize = 2;
/// Time limit for the reply of a holder.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The key was not used before and the call may be sent. The guard reports the call's outcome.
    New(KeyGuard),
    /// The key was used before.
    Repeated(KeyState),
    /// The key could not be checked at each holder.
    Unchecked,
}

/// Claims `key` before its call is sent. `key` is service, class and idempotency key joined by `/`.
pub async fn claim(ctx: &Context, key: &str) -> Claim {
    let hash = hash(key);
    let mut guard = match ctx.keys.claim(hash).await {
        Some(KeyState::Fresh) => KeyGuard::new(ctx, hash),
        Some(state) => return Claim::Repeated(state),
        None => return Claim::Unchecked,
    };
    // Asks in rank order, so that the first holder decides between two instances that claim the same
    // key at the same time.
    for holder in holders(ctx, &hash) {
        guard.add_holder(&holder);
        match claim_at(ctx, &holder, hash).await {
            Some(KeyState::Fresh) => {}
            Some(state) => {
                guard.remove_last_holder();
                guard.end(KeyState::Fresh);
                return Claim::Repeated(state);
            }
            None => {
                guard.end(KeyState::Fresh);
                return Claim::Unchecked;
            }
        }
    }
    Claim::New(guard)
}

/// Claims the key at one holder and returns its state before the claim. Returns `None` if the holder
/// does not reply in time or its table is full.
async fn claim_at(ctx: &Context, holder: &InstanceId, key: KeyHash) -> Option<KeyState> {
    let (seq, reply) = ctx.keys.register_claim();
    ctx.peers.send(holder, PeerMsg::KeyClaim { seq, key });
    let state = timeout(REPLY_TIMEOUT, reply).await;
    ctx.keys.remove_claim(seq);
    state.ok()?.ok()
}

/// Returns the holders of the key other than this instance, highest rank first.
fn holders(ctx: &Context, key: &KeyHash) -> Vec<InstanceId> {
    let snapshot = ctx.snapshot.load();
    rank(&snapshot.live, key, &ctx.settings.instance)
}

/// Returns the holders of `key` among the `live` instances without `me`, highest rank first.
fn rank(live: &[InstanceId], key: &KeyHash, me: &InstanceId) -> Vec<InstanceId> {
    let name = format!("{:032x}", u128::from_be_bytes(*key));
    let mut ranked: Vec<&InstanceId> = live.iter().collect();
    ranked.sort_by_key(|id| std::cmp::Reverse(rendezvous(&name, id.as_str())));
    let highest = ranked.into_iter().take(HOLDERS);
    highest.filter(|id| *id != me).cloned().collect()
}

fn hash(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    let mut hash = KeyHash::default();
    hash.copy_from_slice(&digest[..size_of::<KeyHash>()]);
    hash
}

#[cfg(test)]
mod tests;
