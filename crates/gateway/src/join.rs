//! Start of an instance: it asks the ones that run for what they have read from the store, and reads
//! the store itself only if none can tell.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::task;
use balance::Presence;
use model::Time;
use platform::{PeerClient, PlatformError};
use rand::{Rng, seq::IndexedRandom};
use tracing::{debug, info};

use crate::{snapshot::Snapshot, state::State};

/// Path of the request for a snapshot.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Status of an instance that gives snapshots to others at the moment.
pub const BUSY_STATUS: u16 = 429;
/// Snapshots that an instance sends at the same time. Each has some hundred kilobytes, and others that
/// have got one can send it as well.
pub const MAX_SENT: usize = 3;
/// Time limit of one request, in milliseconds.
const FETCH_LIMIT_MS: u64 = 1_500;
/// Shortest and longest pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..180;
/// Time after the start in which an instance that is no seed waits for others that have read the
/// store, in microseconds. All may have started at the same time.
const WAIT_US: u64 = 1_200_000;
/// Largest random addition to it, so that not all read the store at the same time.
const WAIT_JITTER_US: u64 = 800_000;
/// Time after the start for which an instance waits if others have a snapshot but are busy, in
/// microseconds.
const BUSY_WAIT_US: u64 = 6_000_000;

/// Gets a snapshot from another instance, or finds that the store must be read.
pub async fn join(state: Rc<State>) {
    let started = state.now();
    let seeds = other_seeds(&state);
    let is_seed = seeds.len() < state.settings.seeds.len();
    let limit_us = if is_seed {
        0
    } else {
        WAIT_US + rand::rng().random_range(0..WAIT_JITTER_US)
    };
    let mut is_busy = false;
    let mut untried = seeds.clone();
    while !seeds.is_empty() || state.members.borrow().live().next().is_some() {
        let asked = state.now();
        let passed_us = asked.since_us(started);
        let limit_us = if is_busy { BUSY_WAIT_US } else { limit_us };
        // A seed asks each of the others once: all may have started at the same time.
        if passed_us >= limit_us && (!is_seed || is_busy || untried.is_empty()) {
            break;
        }
        let Some(addr) = source(&state, &seeds, &mut untried) else {
            break;
        };
        match fetch(&state, addr, asked).await {
            Ok(()) => {
                state.end_join();
                return;
            }
            Err(PlatformError::Refused {
                status: BUSY_STATUS,
            }) => is_busy = true,
            Err(error) => debug!(event = "snapshot_unread", peer = %addr, %error),
        }
        if !is_seed || is_busy {
            let pause_ms = rand::rng().random_range(PAUSE_MS);
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    info!(
        event = "join_by_store",
        seeds = seeds.len(),
        waited_ms = state.now().since_us(started) / 1_000
    );
    state.end_join();
}

/// Returns the peer addresses of the seeds, without that of this instance.
fn other_seeds(state: &State) -> Vec<SocketAddr> {
    let own = SocketAddr::from(state.settings.peer);
    let seeds = state.settings.seeds.iter();
    seeds
        .map(|seed| SocketAddr::new(seed.ip(), own.port()))
        .filter(|addr| *addr != own)
        .collect()
}

/// Returns the instance to ask next: one that is ready, preferably in the own zone, or a seed.
fn source(
    state: &State,
    seeds: &[SocketAddr],
    untried: &mut Vec<SocketAddr>,
) -> Option<SocketAddr> {
    let members = state.members.borrow();
    let ready: Vec<_> = members
        .live()
        .filter(|m| m.presence == Presence::Ready)
        .collect();
    let near: Vec<SocketAddr> = ready
        .iter()
        .filter(|m| m.zone == state.settings.zone)
        .map(|m| m.peer_addr)
        .collect();
    let mut rng = rand::rng();
    if let Some(addr) = near.choose(&mut rng) {
        return Some(*addr);
    }
    if let Some(member) = ready.choose(&mut rng) {
        return Some(member.peer_addr);
    }
    untried.pop().or_else(|| seeds.choose(&mut rng).copied())
}

async fn fetch(state: &State, addr: SocketAddr, asked: Time) -> Result<(), PlatformError> {
    let body = PeerClient::new(addr)
        .get(SNAPSHOT_PATH, FETCH_LIMIT_MS)
        .await?;
    let malformed = || PlatformError::Body(String::from("not a snapshot of this release"));
    let snapshot = Snapshot::decode(&body).ok_or_else(malformed)?;
    let targets = snapshot.entries.len();
    let age_ms = snapshot.entries_age_ms;
    let next = snapshot.apply(state, asked);
    state.joined_at.set(Some(next));
    info!(event = "joined", peer = %addr, targets, age_ms, %next, bytes = body.len());
    Ok(())
}

#[cfg(test)]
mod tests;
