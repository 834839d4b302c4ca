//! Sends what this instance has read of the targets' entries to the others, and forwards what
//! others have sent. Reads go on meanwhile.

use std::{net::SocketAddr, rc::Rc};

use async_std::{channel::Receiver, net::UdpSocket, task};
use balance::{FanOut, Member, Position};
use model::Time;
use rand::seq::SliceRandom;
use tracing::info;

use crate::{
    datagrams::{send_paced, transmission_us},
    entries_update::EntriesUpdate,
    state::State,
};

/// Time after which an earlier update of this instance does not matter to a new one, in
/// microseconds. The other instances have heard from other readers since then.
const MAX_SENT_AGE_US: u64 = 2_500_000;
/// Most changes with which an update repeats those of the update before it. They fit into a few
/// datagrams.
const MAX_REPEATED: usize = 150;

/// Sends updates until the process ends. `wanted` yields the position up to which the others know
/// the entries. What is read while an update is sent becomes part of the next one.
pub async fn send_updates(state: Rc<State>, socket: Rc<UdpSocket>, wanted: Receiver<Position>) {
    let mut sent: Option<Sent> = None;
    while let Ok(known) = wanted.recv().await {
        let now = state.now();
        let era = state.entries.borrow().era();
        let known = if known.era == era {
            known.offset
        } else {
            // The others list the entries of the new era themselves once they hear of it.
            state.entries_next().unwrap_or_default()
        };
        let before = sent.filter(|s| s.era == era && now.since_us(s.at) < MAX_SENT_AGE_US);
        let update = next_update(&state, known, before);
        sent = Some(Sent {
            era,
            from: before.map_or(known, |s| s.next.min(known)),
            next: update.next,
            at: now,
        });
        send_update(&state, &socket, update).await;
    }
}

/// An update that this instance has sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// Era of the store in which the offsets were given out.
    era: u64,
    /// First offset that it covers, without what it repeats.
    from: u64,
    /// Offset after the last one covered.
    next: u64,
    at: Time,
}

/// Returns the update that follows the one that was sent `before`, for instances that know the
/// entries up to the offset `known`. It also carries what other readers have sent since then, so
/// that each change comes from two readers. If there are few changes, it repeats those of the
/// update before it, so that even two lost datagrams leave no gap.
fn next_update(state: &State, known: u64, before: Option<Sent>) -> EntriesUpdate {
    let Some(before) = before else {
        return update_since(state, known);
    };
    let repeated = update_since(state, before.from.min(known));
    if repeated.changes.len() <= MAX_REPEATED {
        return repeated;
    }
    update_since(state, before.next.min(known))
}

/// Returns an update with all changes from offset `from` on.
pub fn update_since(state: &State, from: u64) -> EntriesUpdate {
    let entries = state.entries.borrow();
    let (from, changes) = entries.since(from);
    let next = entries.next().unwrap_or(from);
    EntriesUpdate {
        age_ms: age_ms(state),
        forward_to: Vec::new(),
        era: entries.era(),
        from,
        next,
        end: next,
        changes,
    }
}

fn age_ms(state: &State) -> u64 {
    state.entries_age_us().unwrap_or_default().div_ceil(1_000)
}

/// Sends an update to all live instances.
pub async fn send_update(state: &State, socket: &UdpSocket, update: EntriesUpdate) {
    let start = state.now();
    let (era, from, next) = (update.era, update.from, update.next);
    let changes = update.changes.len();
    let groups = groups(state, &update);
    let longest = groups.iter().map(|g| g.others.len()).max();
    let parts = update.split(longest.unwrap_or_default());
    let count = parts.len();
    for mut part in parts {
        let age_at_start = part.age_ms;
        for group in &groups {
            part.forward_to.clone_from(&group.others);
            part.age_ms = age_at_start + state.now().since_us(start).div_ceil(1_000);
            let bytes = part.encode();
            send_paced(state, socket, &state.update_pace, &bytes, group.relay).await;
        }
    }
    let took_ms = state.now().since_us(start) / 1_000;
    info!(
        event = "entries_sent",
        era,
        from,
        next,
        changes,
        datagrams = count,
        groups = groups.len(),
        took_ms
    );
}

/// Divides the live instances into random groups, of which one instance forwards the update.
fn groups(state: &State, update: &EntriesUpdate) -> Vec<FanOut> {
    let members = state.members.borrow();
    let mut live: Vec<&Member> = members.live().collect();
    live.shuffle(&mut rand::rng());
    let duration_us = transmission_us(state, update.encode().len());
    FanOut::groups(live, duration_us)
}

/// Forwards an update that was known to be current at `as_of`.
pub fn forward(state: &Rc<State>, socket: &Rc<UdpSocket>, update: &EntriesUpdate, as_of: Time) {
    let (state, socket) = (Rc::clone(state), Rc::clone(socket));
    let mut forwarded = update.clone();
    let addrs: Vec<SocketAddr> = std::mem::take(&mut forwarded.forward_to);
    if addrs.is_empty() {
        return;
    }
    task::spawn_local(async move {
        for addr in addrs {
            forwarded.age_ms = state.now().since_us(as_of).div_ceil(1_000);
            let bytes = forwarded.encode();
            send_paced(&state, &socket, &state.update_pace, &bytes, addr).await;
        }
    });
}

#[cfg(test)]
mod tests;
