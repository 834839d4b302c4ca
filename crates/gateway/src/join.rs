//! Start of an instance: it asks the ones that run for what they have read from the store, and reads
//! the store itself if none can tell soon.

use std::{cell::RefCell, net::SocketAddr, ops::Range, rc::Rc, time::Duration};

use async_std::{future::timeout, task};
use balance::Presence;
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use futures::{FutureExt, future::select_all};
use model::Time;
use platform::{PeerClient, PlatformError};
use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};
use tracing::{debug, info};

use crate::{snapshot::Snapshot, state::State};

/// Path of the request for a snapshot.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Status of an instance that gives snapshots to others at the moment.
pub const BUSY_STATUS: u16 = 429;
/// Snapshots that an instance sends at the same time. Each has some hundred kilobytes, and others that
/// have got one can send it as well.
pub const MAX_SENT: usize = 4;
/// Ready instances that one without a snapshot names to the asking one.
const HINTS: usize = 6;
/// Requests at the same time, so that one to a dead machine does not hold up the others.
const WORKERS: usize = 2;
/// Time limit of one request, in milliseconds.
const FETCH_LIMIT_MS: u64 = 700;
/// Time limit for opening a connection. After a loss of power, a machine that is not up yet does not
/// answer, and each wait for it keeps this instance from asking one that has a snapshot.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Shortest and longest pause between two requests, in milliseconds.
const PAUSE_MS: Range<u64> = 25..75;
/// Time after which a seed reads the store. All others ask the seeds.
const SEED_WAIT: Duration = Duration::from_millis(40);
/// Shortest and longest time after which another instance reads the store, in milliseconds. While no
/// instance has read it, nobody is served.
const WAIT_MS: Range<u64> = 60..300;
/// The same for an instance with a slow link. Such machines mostly have little processor time, too, and
/// take longer for a listing than for a snapshot of a fast one.
const SLOW_WAIT_MS: Range<u64> = 600..1_000;
/// Bandwidth below which a link is slow, in Mbit/s.
const FAST_LINK_MBPS: f64 = 100.0;
/// Time for which an instance waits further if another one has answered, and so is about to read the
/// store, or has done so and is busy.
const ANSWERED_WAIT: Duration = Duration::from_millis(600);
/// Time after which an instance that is no seed reads the store at the first start of the whole
/// system. Nobody is to be served yet, and the operator may not have written a configuration.
const FIRST_START_WAIT: Duration = Duration::from_secs(3);

/// What the requests of a starting instance have shown.
#[derive(Debug, Default)]
struct Found {
    /// Instances that another one has named.
    hints: Vec<SocketAddr>,
    /// Whether an instance has answered.
    has_answer: bool,
}

/// Gets a snapshot from another instance, or finds that the store must be read.
pub async fn join(state: Rc<State>) {
    let started = state.now();
    let seeds = other_seeds(&state);
    let is_seed = seeds.len() < state.settings.seeds.len();
    let wait = if is_seed {
        SEED_WAIT
    } else if state.settings.first_start {
        FIRST_START_WAIT
    } else {
        let is_slow = state.settings.link_mbps < FAST_LINK_MBPS;
        let range = if is_slow { SLOW_WAIT_MS } else { WAIT_MS };
        Duration::from_millis(rand::rng().random_range(range))
    };
    let found = RefCell::new(Found::default());
    let workers = (0..WORKERS).map(|_| ask_others(&state, &seeds, &found).boxed_local());
    let mut asking = select_all(workers);
    let mut is_joined = !seeds.is_empty() && timeout(wait, &mut asking).await.is_ok();
    if !is_joined && found.borrow().has_answer && !is_seed {
        is_joined = timeout(ANSWERED_WAIT, &mut asking).await.is_ok();
    }
    if !is_joined {
        let waited_ms = state.now().since_us(started) / 1_000;
        info!(event = "join_by_store", seeds = seeds.len(), waited_ms);
    }
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

/// Asks one instance after the other until one gives a snapshot.
async fn ask_others(state: &State, seeds: &[SocketAddr], found: &RefCell<Found>) {
    loop {
        let Some(addr) = source(state, seeds, &found.borrow().hints) else {
            return std::future::pending().await;
        };
        match fetch(state, addr, found).await {
            Ok(()) => return,
            Err(error) => debug!(event = "snapshot_unread", peer = %addr, %error),
        }
        let pause_ms = rand::rng().random_range(PAUSE_MS);
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the instance to ask next: one that is ready, preferably in the own zone, or a seed.
fn source(state: &State, seeds: &[SocketAddr], hints: &[SocketAddr]) -> Option<SocketAddr> {
    let members = state.members.borrow();
    let is_ready = |m: &&balance::Member| m.presence == Presence::Ready;
    let ready: Vec<_> = members.live().filter(is_ready).collect();
    let is_near = |m: &&&balance::Member| m.zone == state.settings.zone;
    let mut rng = rand::rng();
    let near = ready.iter().filter(is_near).choose(&mut rng);
    let member = near.or_else(|| ready.choose(&mut rng));
    member
        .map(|m| m.peer_addr)
        .or_else(|| hints.choose(&mut rng).copied())
        .or_else(|| seeds.choose(&mut rng).copied())
}

/// Whether an instance is known to be ready, by its own word or that of another one, and so has a
/// snapshot.
fn is_named_ready(state: &State, addr: SocketAddr, hints: &[SocketAddr]) -> bool {
    let members = state.members.borrow();
    let is_ready = members
        .get(addr)
        .is_some_and(|m| m.presence == Presence::Ready);
    is_ready || hints.contains(&addr)
}

async fn fetch(
    state: &State,
    addr: SocketAddr,
    found: &RefCell<Found>,
) -> Result<(), PlatformError> {
    let asked = state.now();
    let has_snapshot = is_named_ready(state, addr, &found.borrow().hints);
    let _fetch = has_snapshot.then(|| state.start_progress.begin_fetch(asked));
    let mut client = PeerClient::with_connect_limit(addr, CONNECT_LIMIT);
    let limit = Duration::from_millis(FETCH_LIMIT_MS);
    let response = timeout(limit, client.get(SNAPSHOT_PATH, FETCH_LIMIT_MS)).await;
    let response = response.map_err(|_| PlatformError::Timeout {
        limit_ms: FETCH_LIMIT_MS,
    })??;
    if response.status != 200 {
        let own = SocketAddr::from(state.settings.peer);
        let mut hints = decode_hints(&response.body);
        hints.retain(|hint| *hint != own);
        let mut found = found.borrow_mut();
        found.has_answer = true;
        state.start_progress.record_answer();
        found.hints = hints;
        return Err(PlatformError::Refused {
            status: response.status,
        });
    }
    let malformed = || PlatformError::Body(String::from("not a snapshot of this release"));
    let snapshot = Snapshot::decode(&response.body).ok_or_else(malformed)?;
    apply(state, addr, snapshot, asked);
    Ok(())
}

fn apply(state: &State, addr: SocketAddr, snapshot: Snapshot, asked: Time) {
    let (targets, age_ms) = (snapshot.entries.len(), snapshot.entries_age_ms);
    let next = snapshot.apply(state, asked);
    state.joined_at.set(Some(next));
    info!(event = "joined", peer = %addr, targets, age_ms, %next);
}

/// Returns some ready instances, for one that asks here in vain.
pub fn encode_hints(state: &State) -> Vec<u8> {
    let members = state.members.borrow();
    let ready = members.ready().into_iter().map(|m| m.peer_addr);
    let hints = ready.choose_multiple(&mut rand::rng(), HINTS);
    encode_to_vec(hints, standard()).unwrap_or_default()
}

fn decode_hints(bytes: &[u8]) -> Vec<SocketAddr> {
    let decoded = decode_from_slice::<Vec<SocketAddr>, _>(bytes, standard());
    decoded.map(|(hints, _)| hints).unwrap_or_default()
}

#[cfg(test)]
mod tests;
