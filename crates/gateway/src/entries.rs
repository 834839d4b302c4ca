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
    entries_update::{EntriesUpdate, EntryChange},
    peers::{broadcast, send_heartbeat},
    state::State,
};

/// Instances that read for all. With two, the end of one is not noticed.
const READERS: usize = 2;
/// Time between two reads of one reader. A target that is leaving must get nothing 2 s after the store
/// knows.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the entries from which an instance reads by itself, in microseconds. The first read after
/// both readers ended then still comes in time.
const TAKEOVER_US: u64 = 1_300_000;
/// Time between the reads of one instance and twice as many after it while nothing is heard, in
/// microseconds. The first to read tell the others, so that a hundred instances do not all read; the last
/// still do so 2 s after the last news.
const TAKEOVER_STEP_US: u64 = 75_000;
/// Time after the start in which the first listing is enough, in microseconds. Others are met meanwhile,
/// who read for all; bounds on what an instance must know hold from 3 s after its start.
const DISCOVERY_US: u64 = 2_500_000;
/// Time for which a missing part is awaited, in microseconds. Another reader's next part may cover it.
const GAP_WAIT_US: u64 = 600_000;
/// Time between two looks at whether to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two reads while entries are awaited that lapsed with the store.
const LAPSED_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Longer pause after a failed read, for the second instance and each doubling of the rank. The first ones
/// notice the store's return and tell the others; the last of a hundred look 3 s later at most.
const FAILURE_PAUSE_STEP: Duration = Duration::from_millis(350);
/// Age of the entries from which a store that failed counts as having been away, in microseconds.
/// Targets write every 1.5 s and lapse after three missed writes.
const OUTAGE_US: u64 = 1_200_000;

/// Follows the entries of targets until the process ends.
pub async fn follow_entries(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut store = Store::new(state.settings.store);
    let mut last_read = Time(0);
    let mut backoff = Backoff::default();
    let mut retry_at = Time(0);
    let mut last_sent: Option<EntriesUpdate> = None;
    loop {
        sweep(&state);
        let rank = state.duty_rank("entries");
        let is_reader = knows_peers(&state) && rank < READERS;
        let since_read = Duration::from_micros(state.now().since_us(last_read));
        let is_due = is_reader && since_read >= READ_INTERVAL;
        let takes_over = must_take_over(&state, rank);
        let is_wanted = is_due || takes_over || reads_lapsed(&state, rank, since_read);
        let is_backing_off = state.now() < retry_at;
        if !has_gap(&state) && (is_backing_off || !is_wanted && !is_starting(&state)) {
            task::sleep(CHECK_INTERVAL).await;
            continue;
        }
        last_read = state.now();
        state.metrics.count("store_calls", 1);
        match read(&state, &mut store).await {
            Ok(update) => {
                state.has_store.set(true);
                backoff.reset();
                if (is_reader || takes_over)
                    && let Some(update) = update
                {
                    // Each part is told twice, so that one lost datagram leaves no gap.
                    let both = last_sent
                        .take()
                        .map_or_else(|| update.clone(), |last| last.join(&update));
                    for bytes in both.datagrams() {
                        broadcast(&state, &socket, &bytes).await;
                    }
                    last_sent = Some(update);
                }
            }
            Err(error) => {
                record_failure(&state, &error);
                if state.has_store.replace(false) {
                    // The others take the duty over as soon as they know.
                    send_heartbeat(&state, &socket).await;
                }
                let pause = backoff.pause() + FAILURE_PAUSE_STEP * (rank + 1).ilog2();
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                retry_at = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Whether nothing was heard for so long that the instance with this rank reads for all.
fn must_take_over(state: &State, rank: usize) -> bool {
    let age = state.targets_read.get().map(|at| state.now().since_us(at));
    knows_peers(state) && age.is_none_or(|age| age >= takeover_age_us(rank))
}

/// Age of the entries from which the instance with this rank reads, in microseconds.
fn takeover_age_us(rank: usize) -> u64 {
    TAKEOVER_US + TAKEOVER_STEP_US * u64::from((rank + 1).ilog2())
}

/// Whether no entries are known.
fn is_starting(state: &State) -> bool {
    state.entries_next.get().is_none()
}

/// Whether a part was told that does not follow what is known here.
fn has_gap(state: &State) -> bool {
    let gap = state.entries_gap.get();
    gap.is_some_and(|since| state.now().since_us(since) >= GAP_WAIT_US)
}

/// Whether the readers look for entries that lapsed with the store.
fn reads_lapsed(state: &State, rank: usize, since_read: Duration) -> bool {
    rank < READERS && since_read >= LAPSED_READ_INTERVAL && state.targets.borrow().has_lapsed()
}

/// Whether the instance has run for long enough to have met the others.
fn knows_peers(state: &State) -> bool {
    state.now().since_us(state.started) >= DISCOVERY_US
}

fn record_failure(state: &State, error: &PlatformError) {
    let now = state.now();
    if state.entries_gap.get().is_some() {
        // The missing part is tried for again after the usual wait.
        state.entries_gap.set(Some(now));
    }
    if !state.entries_failed.replace(true) {
        let age_ms = state
            .targets_read
            .get()
            .map_or(0, |t| now.since_us(t) / 1_000);
        warn!(event = "store_lost", reader = "entries", %error, age_ms);
    }
}

/// Reads once; returns what the other instances are to be told.
async fn read(
    state: &Rc<State>,
    store: &mut Store,
) -> Result<Option<EntriesUpdate>, PlatformError> {
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
    record_current(state, page.next);
    log_malformed(&page.listing);
    let changes = page
        .listing
        .changes
        .into_iter()
        .filter_map(|(at, c)| Some((at, entry_change(c)?)));
    let changed: Vec<(u64, EntryChange)> = changes
        .filter(|(offset, change)| apply(state, *offset, change))
        .collect();
    Ok(Some(EntriesUpdate {
        from,
        next: page.next,
        end: page.next,
        changes: changed,
    }))
}

/// Reads all entries. `from` is where reading would have gone on; the others are told what has changed
/// since, so that they need not read all entries as well.
async fn list(
    state: &Rc<State>,
    store: &mut Store,
    from: Option<u64>,
) -> Result<Option<EntriesUpdate>, PlatformError> {
    state.metrics.count("store_calls", 1);
    let newest = store.newest(Topic::Targets).await?;
    record_current(state, newest.end);
    let changes = apply_listing(state, newest.listing);
    // The listing holds for its end, so that it goes before whatever was heard of meanwhile.
    let last = newest.end.saturating_sub(1);
    Ok(from.map(|from| EntriesUpdate {
        from,
        next: newest.end,
        end: newest.end,
        changes: changes.into_iter().map(|c| (last, c)).collect(),
    }))
}

fn entry_change(change: Change) -> Option<EntryChange> {
    match change {
        Change::Target(entry) => Some(EntryChange::Put(entry)),
        Change::TargetGone(id) => Some(EntryChange::Gone(id)),
        _ => None,
    }
}

/// Takes in what a reader told.
pub fn apply_update(state: &State, update: EntriesUpdate) {
    let Some(own) = state.entries_next.get() else {
        return;
    };
    if update.from <= own && update.next >= own {
        record_store_regained(state);
        state.entries_next.set(Some(update.next));
        for (offset, change) in update.changes {
            if offset >= own {
                apply(state, offset, &change);
            }
        }
        if update.next == update.end {
            record_current(state, update.next);
        }
    }
    let is_behind = state.entries_next.get().is_some_and(|own| own < update.end);
    if is_behind && state.entries_gap.get().is_none() {
        // A datagram was lost or overtaken on the way.
        state.entries_gap.set(Some(state.now()));
    }
}

/// Notes that the store's entries are known again after a failure.
fn record_store_regained(state: &State) {
    if !state.entries_failed.replace(false) {
        return;
    }
    let now = state.now();
    let age = state.targets_read.get().map(|at| now.since_us(at));
    info!(
        event = "store_regained",
        reader = "entries",
        age_ms = age.unwrap_or(0) / 1_000
    );
    if age.is_some_and(|age| age > OUTAGE_US) {
        state.fresh_since.set(now);
        if !state.store_stayed_up() {
            state.targets.borrow_mut().record_store_return(now);
        }
    }
}

/// Notes that the entries are known up to `next`, the end of what the store holds.
fn record_current(state: &State, next: u64) {
    record_store_regained(state);
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
fn apply_listing(state: &State, listing: Listing) -> Vec<EntryChange> {
    log_malformed(&listing);
    let mut entries: Vec<TargetEntry> = Vec::new();
    for (_, change) in listing.changes {
        if let Change::Target(entry) = change {
            record_version(state, &entry);
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
        EntryChange::Gone(id) => remove_missing(state, id, offset),
    }
}

fn remove_missing(state: &State, id: &TargetId, offset: u64) -> bool {
    let mut targets = state.targets.borrow_mut();
    let is_known = targets.get(id).is_some();
    if targets.handle_missing(id, state.now()) {
        info!(event = "target_gone", target_id = %id, offset);
    }
    is_known
}

fn put(state: &State, entry: &TargetEntry, offset: u64) -> bool {
    record_version(state, entry);
    let is_change = state.targets.borrow_mut().put(entry.clone(), state.now());
    if is_change {
        info!(event = "target", target_id = %entry.id, service = %entry.service, zone = %entry.zone,
            version = %entry.version, draining = entry.draining, cold_ms = entry.cold_ms, offset);
    }
    is_change
}

fn record_version(state: &State, entry: &TargetEntry) {
    let key = (entry.service.clone(), entry.version.clone());
    let mut versions = state.versions_seen.borrow_mut();
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
