//! Follows the entries of targets. Two instances read them from the store and tell the others, since
//! every read is paid for; an instance that hears nothing, or misses a part, reads by itself.

use std::{rc::Rc, time::Duration};

use async_std::{net::UdpSocket, task};
use balance::TargetEntry;
use model::{TargetId, Time};
use platform::{Change, Listing, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{
    backoff::Backoff,
    entries_part::{EntriesPart, EntryChange},
    peers::{send_beat, tell_all},
    state::State,
};

/// Instances that read for all. With two, the end of one is not noticed.
const READERS: usize = 2;
/// Time between two reads of one reader. A target that is leaving must get nothing 2 s after the store
/// knows.
const PACE: Duration = Duration::from_millis(900);
/// Age of the entries from which an instance reads by itself, in microseconds. The first read after
/// both readers ended then still comes in time.
const FOLLOW_US: u64 = 1_300_000;
/// Time between the reads of one instance and twice as many after it while nothing is heard, in
/// microseconds. The first to read tell the others, so that a hundred instances do not all read; the last
/// still do so 2 s after the last news.
const FOLLOW_STEP_US: u64 = 75_000;
/// Time after the start in which the first listing is enough, in microseconds. Others are met meanwhile,
/// who read for all; bounds on what an instance must know hold from 3 s after its start.
const START_US: u64 = 2_500_000;
/// Time for which a missing part is awaited, in microseconds. Another reader's next part may cover it.
const GAP_US: u64 = 600_000;
/// Time between two looks at whether to read.
const LOOK: Duration = Duration::from_millis(150);
/// Time between two reads while entries are awaited that lapsed with the store.
const LAPSED_PACE: Duration = Duration::from_millis(450);
/// Longer pause after a failed read, for the second instance and each doubling of the rank. The first ones
/// notice the store's return and tell the others; the last of a hundred look 3 s later at most.
const FAILED_STEP: Duration = Duration::from_millis(350);
/// Age of the entries from which a store that failed counts as having been away, in microseconds.
/// Targets write every 1.5 s and lapse after three missed writes.
const AWAY_US: u64 = 1_200_000;

/// Follows the entries of targets until the process ends.
pub async fn follow_entries(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut store = Store::new(state.settings.store);
    let mut last_read = Time(0);
    let mut backoff = Backoff::default();
    let mut not_before = Time(0);
    let mut told: Option<EntriesPart> = None;
    loop {
        sweep(&state);
        let rank = state.duty_rank("entries");
        let is_reader = has_met(&state) && rank < READERS;
        let rested = Duration::from_micros(state.now().since_us(last_read));
        let is_due = is_reader && rested >= PACE;
        let has_lost_readers = is_old(&state, rank);
        let is_wanted = is_due || has_lost_readers || is_lapsed(&state, rank, rested);
        let is_paused = state.now() < not_before;
        if !misses_part(&state) && (is_paused || !is_wanted && !is_new(&state)) {
            task::sleep(LOOK).await;
            continue;
        }
        last_read = state.now();
        state.metrics.count("store_calls", 1);
        match read(&state, &mut store).await {
            Ok(part) => {
                state.has_store.set(true);
                backoff.reset();
                if (is_reader || has_lost_readers)
                    && let Some(part) = part
                {
                    // Each part is told twice, so that one lost datagram leaves no gap.
                    let both = told
                        .take()
                        .map_or_else(|| part.clone(), |last| last.join(&part));
                    for bytes in both.datagrams() {
                        tell_all(&state, &socket, &bytes).await;
                    }
                    told = Some(part);
                }
            }
            Err(error) => {
                note_failure(&state, &error);
                if state.has_store.replace(false) {
                    // The others take the duty over as soon as they know.
                    send_beat(&state, &socket).await;
                }
                let pause = backoff.pause() + FAILED_STEP * (rank + 1).ilog2();
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                not_before = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Whether nothing was heard for so long that the instance with this rank reads for all.
fn is_old(state: &State, rank: usize) -> bool {
    let age = state.targets_read.get().map(|at| state.now().since_us(at));
    has_met(state) && age.is_none_or(|age| age >= follow_limit_us(rank))
}

/// Age of the entries from which the instance with this rank reads, in microseconds.
fn follow_limit_us(rank: usize) -> u64 {
    FOLLOW_US + FOLLOW_STEP_US * u64::from((rank + 1).ilog2())
}

/// Whether no entries are known.
fn is_new(state: &State) -> bool {
    state.entries_next.get().is_none()
}

/// Whether a part was told that does not follow what is known here.
fn misses_part(state: &State) -> bool {
    let gap = state.entries_gap.get();
    gap.is_some_and(|since| state.now().since_us(since) >= GAP_US)
}

/// Whether the readers look for entries that lapsed with the store.
fn is_lapsed(state: &State, rank: usize, rested: Duration) -> bool {
    rank < READERS && rested >= LAPSED_PACE && state.targets.borrow().has_lapsed()
}

/// Whether the instance has run for long enough to have met the others.
fn has_met(state: &State) -> bool {
    state.now().since_us(state.started) >= START_US
}

fn note_failure(state: &State, error: &PlatformError) {
    let now = state.now();
    if state.entries_gap.get().is_some() {
        // The missing part is tried for again after the usual wait.
        state.entries_gap.set(Some(now));
    }
    if !state.store_lost.replace(true) {
        let age_ms = state
            .targets_read
            .get()
            .map_or(0, |t| now.since_us(t) / 1_000);
        warn!(event = "store_lost", reader = "entries", %error, age_ms);
    }
}

/// Reads once; returns what the other instances are to be told.
async fn read(state: &Rc<State>, store: &mut Store) -> Result<Option<EntriesPart>, PlatformError> {
    let Some(from) = state.entries_next.get() else {
        return list(state, store, None).await;
    };
    let page = match store.read(Topic::Targets, from, 0).await {
        Err(PlatformError::Dropped { first }) => {
            info!(event = "entries_dropped", first, from);
            return list(state, store, Some(from)).await;
        }
        page => page?,
    };
    // Parts that arrived meanwhile may have gone further.
    let is_behind = state
        .entries_next
        .get()
        .is_some_and(|next| next > page.next);
    if is_behind {
        return Ok(None);
    }
    note_current(state, page.next);
    log_malformed(&page.listing);
    let changes = page
        .listing
        .changes
        .into_iter()
        .filter_map(|(at, c)| Some((at, known(c)?)));
    let news: Vec<(u64, EntryChange)> = changes
        .filter(|(offset, change)| apply(state, *offset, change))
        .collect();
    Ok(Some(EntriesPart {
        from,
        next: page.next,
        end: page.next,
        changes: news,
    }))
}

/// Reads all entries. `from` is where reading would have gone on; the others are told what has changed
/// since, so that they need not read all entries as well.
async fn list(
    state: &Rc<State>,
    store: &mut Store,
    from: Option<u64>,
) -> Result<Option<EntriesPart>, PlatformError> {
    state.metrics.count("store_calls", 1);
    let newest = store.newest(Topic::Targets).await?;
    note_current(state, newest.end);
    let changes = apply_whole(state, newest.listing);
    // The listing holds for its end, so that it goes before whatever was heard of meanwhile.
    let last = newest.end.saturating_sub(1);
    Ok(from.map(|from| EntriesPart {
        from,
        next: newest.end,
        end: newest.end,
        changes: changes.into_iter().map(|c| (last, c)).collect(),
    }))
}

fn known(change: Change) -> Option<EntryChange> {
    match change {
        Change::Target(entry) => Some(EntryChange::Put(entry)),
        Change::TargetGone(id) => Some(EntryChange::Gone(id)),
        _ => None,
    }
}

/// Takes in what a reader told.
pub fn take_part(state: &State, part: EntriesPart) {
    let Some(own) = state.entries_next.get() else {
        return;
    };
    if part.from <= own && part.next >= own {
        note_regained(state);
        state.entries_next.set(Some(part.next));
        for (offset, change) in part.changes {
            if offset >= own {
                apply(state, offset, &change);
            }
        }
        if part.next == part.end {
            note_current(state, part.next);
        }
    }
    let is_behind = state.entries_next.get().is_some_and(|own| own < part.end);
    if is_behind && state.entries_gap.get().is_none() {
        // A datagram was lost or overtaken on the way.
        state.entries_gap.set(Some(state.now()));
    }
}

/// Notes that the store's entries are known again after a failure.
fn note_regained(state: &State) {
    if !state.store_lost.replace(false) {
        return;
    }
    let now = state.now();
    let age = state.targets_read.get().map(|at| now.since_us(at));
    info!(
        event = "store_regained",
        reader = "entries",
        age_ms = age.unwrap_or(0) / 1_000
    );
    if age.is_some_and(|age| age > AWAY_US) {
        state.steady_since.set(now);
        if !state.was_store_sound() {
            state.targets.borrow_mut().record_store_return(now);
        }
    }
}

/// Notes that the entries are known up to `next`, the end of what the store holds.
fn note_current(state: &State, next: u64) {
    note_regained(state);
    state.entries_gap.set(None);
    state.entries_next.set(Some(next));
    state.targets_read.set(Some(state.now()));
}

fn log_malformed(listing: &Listing) {
    for (key, error) in &listing.malformed {
        warn!(event = "entry_malformed", key, %error);
    }
}

/// Applies a whole listing; returns what is news.
fn apply_whole(state: &State, listing: Listing) -> Vec<EntryChange> {
    log_malformed(&listing);
    let mut entries: Vec<TargetEntry> = Vec::new();
    for (_, change) in listing.changes {
        if let Change::Target(entry) = change {
            note_version(state, &entry);
            entries.push(entry);
        }
    }
    info!(event = "targets", count = entries.len());
    let (changed, missing) = state.targets.borrow_mut().replace_all(entries, state.now());
    let changed = changed.into_iter().map(EntryChange::Put);
    changed
        .chain(missing.into_iter().map(EntryChange::Gone))
        .collect()
}

/// Applies one change; whether it is news.
fn apply(state: &State, offset: u64, change: &EntryChange) -> bool {
    match change {
        EntryChange::Put(entry) => put(state, entry, offset),
        EntryChange::Gone(id) => lose(state, id, offset),
    }
}

fn lose(state: &State, id: &TargetId, offset: u64) -> bool {
    let mut targets = state.targets.borrow_mut();
    let is_known = targets.get(id).is_some();
    if targets.handle_missing(id, state.now()) {
        info!(event = "target_gone", target_id = %id, offset);
    }
    is_known
}

fn put(state: &State, entry: &TargetEntry, offset: u64) -> bool {
    note_version(state, entry);
    let is_news = state.targets.borrow_mut().put(entry.clone(), state.now());
    if is_news {
        info!(event = "target", target_id = %entry.id, service = %entry.service, zone = %entry.zone,
            version = %entry.version, draining = entry.draining, cold_ms = entry.cold_ms, offset);
    }
    is_news
}

fn note_version(state: &State, entry: &TargetEntry) {
    let key = (entry.service.clone(), entry.version.clone());
    let mut versions = state.versions.borrow_mut();
    versions.entry(key).or_insert_with(|| state.now());
}

/// Drops targets whose entries did not come back, and connections to addresses without a target.
fn sweep(state: &State) {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    if targets.sweep(now) {
        info!(event = "targets_lapsed", left = targets.len());
    }
    state.pool.sweep(now, |addr| targets.has_address(addr));
}

#[cfg(test)]
mod tests;
