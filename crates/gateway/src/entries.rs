//! Reads the entries of targets.

use std::{rc::Rc, time::Duration};

use async_std::task;
use balance::TargetEntry;
use platform::{Change, Listing, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::state::State;

/// Time between two reads. A target that is leaving must get nothing 2 s after the store knows.
const PACE: Duration = Duration::from_millis(700);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time without an answer from which the store counts as having been away, in microseconds. Targets
/// write every 1.5 s and lapse after three missed writes.
const AWAY_US: u64 = 1_200_000;

/// Follows the entries of targets until the process ends.
pub async fn follow_entries(state: Rc<State>) {
    let mut store = Store::new(state.settings.store);
    let mut next = None;
    let mut is_lost = false;
    loop {
        state.metrics.count("store_calls", 1);
        let done = step(&state, &mut store, next).await;
        let now = state.now();
        match done {
            Ok(at) => {
                if is_lost {
                    info!(event = "store_regained", reader = "entries");
                }
                is_lost = false;
                next = Some(at);
                state.targets_read.set(Some(now));
                task::sleep(PACE).await;
            }
            Err(PlatformError::Dropped { first }) => {
                info!(event = "entries_dropped", first);
                next = None;
            }
            Err(error) => {
                if !is_lost {
                    let age_ms = state
                        .targets_read
                        .get()
                        .map_or(0, |t| now.since_us(t) / 1_000);
                    warn!(event = "store_lost", reader = "entries", %error, age_ms);
                }
                is_lost = true;
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn step(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<u64>,
) -> Result<u64, PlatformError> {
    let (at, listing, is_whole) = match next {
        Some(from) => {
            let page = store.read(Topic::Targets, from, 0).await?;
            (page.next, page.listing, false)
        }
        None => {
            let newest = store.newest(Topic::Targets).await?;
            (newest.end, newest.listing, true)
        }
    };
    let now = state.now();
    let last = state.targets_read.get();
    if last.is_some_and(|last| now.since_us(last) > AWAY_US) {
        state.targets.borrow_mut().note_return(now);
    }
    apply(state, listing, is_whole);
    Ok(at)
}

fn apply(state: &State, listing: Listing, is_whole: bool) {
    let now = state.now();
    for (key, error) in &listing.malformed {
        warn!(event = "entry_malformed", key, %error);
    }
    let mut whole: Vec<TargetEntry> = Vec::new();
    for (offset, change) in listing.changes {
        match change {
            Change::Target(entry) => {
                note_version(state, &entry);
                if is_whole {
                    whole.push(entry);
                } else {
                    put(state, entry, offset);
                }
            }
            Change::TargetGone(id) => {
                if state.targets.borrow_mut().lose(&id, now) {
                    info!(event = "target_gone", target_id = %id, offset);
                }
            }
            _ => (),
        }
    }
    let mut targets = state.targets.borrow_mut();
    if is_whole {
        info!(event = "targets", count = whole.len());
        targets.replace(whole, now);
    }
    if targets.sweep(now) {
        info!(event = "targets_lapsed", left = targets.len());
    }
    drop(targets);
    let targets = state.targets.borrow();
    state.pool.sweep(now, |addr| targets.has_address(addr));
}

fn put(state: &State, entry: TargetEntry, offset: u64) {
    let mut targets = state.targets.borrow_mut();
    let now = state.now();
    let (id, service) = (entry.id.clone(), entry.service.clone());
    let (zone, version) = (entry.zone.clone(), entry.version.clone());
    let (draining, cold_ms) = (entry.draining, entry.cold_ms);
    if targets.put(entry, now) {
        info!(event = "target", target_id = %id, service = %service, zone = %zone,
            version = %version, draining, cold_ms, offset);
    }
}

fn note_version(state: &State, entry: &TargetEntry) {
    let key = (entry.service.clone(), entry.version.clone());
    state
        .versions
        .borrow_mut()
        .entry(key)
        .or_insert_with(|| state.now());
}
