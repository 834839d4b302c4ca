//! Idempotency keys. A key is claimed at this instance and then, one after the other, at its two
//! holders: the live instances of the region that rank highest for it. A repeat at any instance meets
//! at least one of them.

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

/// Holders of a key besides the instance that sends its call.
const HOLDERS: usize = 2;
/// Time for a holder to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);

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

/// Claims `key`, which is service, class and key joined by `/`, before its call is sent.
pub async fn claim(ctx: &Context, key: &str) -> Claim {
    let hash = hash(key);
    let mut guard = match ctx.keys.claim(hash).await {
        Some(KeyState::Fresh) => KeyGuard::new(ctx, hash),
        Some(state) => return Claim::Repeated(state),
        None => return Claim::Unchecked,
    };
    // In rank order, so that of two instances that claim at once one wins at the first holder.
    for holder in holders(ctx, &hash) {
        guard.add_holder(&holder);
        match ask(ctx, &holder, hash).await {
            Some(KeyState::Fresh) => {}
            Some(state) => {
                guard.withdraw_last();
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

/// Asks one holder. `None` if it does not answer in time or its table is full.
async fn ask(ctx: &Context, holder: &InstanceId, key: KeyHash) -> Option<KeyState> {
    let (seq, answer) = ctx.keys.expect();
    ctx.peers.send(holder, PeerMsg::KeyClaim { seq, key });
    let state = timeout(ANSWER_LIMIT, answer).await;
    ctx.keys.forget(seq);
    state.ok()?.ok()
}

/// Other live instances that hold the key, highest rank first.
fn holders(ctx: &Context, key: &KeyHash) -> Vec<InstanceId> {
    let snapshot = ctx.snapshot.load();
    rank(&snapshot.live, key, &ctx.settings.instance)
}

fn rank(live: &[InstanceId], key: &KeyHash, me: &InstanceId) -> Vec<InstanceId> {
    let name = format!("{:032x}", u128::from_be_bytes(*key));
    let mut ranked: Vec<&InstanceId> = live.iter().collect();
    ranked.sort_by_key(|id| std::cmp::Reverse(rendezvous(&name, id.as_str())));
    let first = ranked.into_iter().take(HOLDERS);
    first.filter(|id| *id != me).cloned().collect()
}

fn hash(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    let mut hash = KeyHash::default();
    hash.copy_from_slice(&digest[..size_of::<KeyHash>()]);
    hash
}

#[cfg(test)]
mod tests;
