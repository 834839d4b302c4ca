//! Follows the entries of targets in the store. Since every read costs money, two instances read
//! them and send updates to the others. An instance that receives no updates, or misses one, reads
//! the store itself.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{net::UdpSocket, task};
use balance::{EntryChange, TargetEntry};
use model::{TargetId, Time};
use platform::{Change, Listing, PlatformError, Store, Topic};
use tracing::{debug, info, warn};

use crate::{
    backoff::Backoff,
    entries_update::EntriesUpdate,
    peers::{broadcast, send_heartbeat},
    state::State,
};

/// Instances that read the store for all. With two, updates continue when one of them ends.
const READERS: usize = 2;
/// Time between two reads of one reader. A leaving target must get no requests from 2 s after its
/// entry in the store has changed.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the entries from which an instance that is no reader reads the store, in microseconds. If
/// both readers end, the first read of another instance still meets the limit of 2 s.
const TAKEOVER_US: u64 = 1_300_000;
/// Increase of that age for each doubling of an instance's rank, in microseconds. The instances
/// that read first send updates to the others, so that a hundred instances do not all read; the
/// last ones still read within 2 s after the last update.
const TAKEOVER_STEP_US: u64 = 75_000;
/// Time after the start for which an instance reads only its first listing, in microseconds, while
/// it discovers its peers. The limits on the age of the entries hold from 3 s after the start.
const DISCOVERY_US: u64 = 2_500_000;
/// Time to wait for missing changes before the instance reads the store, in microseconds. The next
/// update of another reader may contain them.
const GAP_WAIT_US: u64 = 600_000;
/// Time between two checks of whether to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two reads of a reader while entries that lapsed in an outage of the store may come
/// back.
const LAPSED_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Increase of the pause after a failed read for each doubling of an instance's rank. The first
/// instances notice the return of the store and update the others; the last of a hundred read at
/// most 3 s later.
const FAILURE_PAUSE_STEP: Duration = Duration::from_millis(350);
/// Age of the entries from which failed reads count as an outage of the store, in microseconds.
/// Targets renew their entries every 1.5 s, and an entry lapses after three missed renewals.
const OUTAGE_US: u64 = 1_200_000;

/// Keeps the targets up to date with their entries in the store until the process ends.
pub async fn follow_entries(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut store = Store::new(state.settings.store);
    let mut last_read = Time(0);
    let mut backoff = Backoff::default();
    let mut retry_at = Time(0);
    let mut sent_from: Option<u64> = None;
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
                    // Each change is sent twice, so that one lost datagram leaves no gap.
                    let from = sent_from.replace(update.from).unwrap_or(update.from);
                    send_update(&state, &socket, update_since(&state, from)).await;
                }
            }
            Err(error) => {
                record_failure(&state, &error);
                if state.has_store.replace(false) {
                    // The others take over the duty once they receive this heartbeat.
                    send_heartbeat(&state, &socket).await;
                }
                let pause = backoff.pause() + FAILURE_PAUSE_STEP * (rank + 1).ilog2();
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                retry_at = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Sends an update to all live instances.
async fn send_update(state: &State, socket: &UdpSocket, update: EntriesUpdate) {
    let start = state.now();
    let (from, next, changes) = (update.from, update.next, update.changes.len());
    let datagrams = update.datagrams();
    for bytes in &datagrams {
        broadcast(state, socket, bytes).await;
    }
    let took_ms = state.now().since_us(start) / 1_000;
    info!(
        event = "entries_sent",
        from,
        next,
        changes,
        datagrams = datagrams.len(),
        took_ms
    );
}

/// Whether the entries are so old that the instance with this rank reads the store for all.
fn must_take_over(state: &State, rank: usize) -> bool {
    let age = state.entries_age_us();
    knows_peers(state) && age.is_none_or(|age| age >= takeover_age_us(rank))
}

/// Returns the age of the entries from which the instance with this rank reads, in microseconds.
fn takeover_age_us(rank: usize) -> u64 {
    TAKEOVER_US + TAKEOVER_STEP_US * u64::from((rank + 1).ilog2())
}

/// Whether no entries were read yet.
fn is_starting(state: &State) -> bool {
    state.entries_next().is_none()
}

/// Whether changes that an update showed to exist have been missing for [`GAP_WAIT_US`].
fn has_gap(state: &State) -> bool {
    let gap = state.entries_gap.get();
    gap.is_some_and(|since| state.now().since_us(since) >= GAP_WAIT_US)
}

/// Whether this instance, as a reader, reads again for entries that lapsed in an outage of the
/// store.
fn reads_lapsed(state: &State, rank: usize, since_read: Duration) -> bool {
    rank < READERS && since_read >= LAPSED_READ_INTERVAL && state.targets.borrow().has_lapsed()
}

/// Whether the instance has run long enough to know its peers.
fn knows_peers(state: &State) -> bool {
    state.now().since_us(state.started) >= DISCOVERY_US
}

fn record_failure(state: &State, error: &PlatformError) {
    let now = state.now();
    if state.entries_gap.get().is_some() {
        // The missing changes are read again after the usual wait.
        state.entries_gap.set(Some(now));
    }
    if !state.entries_failed.replace(true) {
        let age_ms = state.entries_age_us().unwrap_or_default() / 1_000;
        warn!(event = "store_lost", reader = "entries", %error, age_ms);
    }
}

/// Reads the store once, applies the result and logs it. Returns the update for the other
/// instances.
async fn read(
    state: &Rc<State>,
    store: &mut Store,
) -> Result<Option<EntriesUpdate>, PlatformError> {
    let start = state.now();
    let update = read_changes(state, store).await?;
    let took_ms = state.now().since_us(start) / 1_000;
    let (from, next, changes) = update
        .as_ref()
        .map_or((0, 0, 0), |u| (u.from, u.next, u.changes.len()));
    info!(
        event = "entries_read",
        from,
        next,
        changes,
        took_ms,
        known = state.entries_next().unwrap_or_default()
    );
    Ok(update)
}

async fn read_changes(
    state: &Rc<State>,
    store: &mut Store,
) -> Result<Option<EntriesUpdate>, PlatformError> {
    let Some(from) = state.entries_next() else {
        return list(state, store, None).await;
    };
    let page = match store.read(Topic::Targets, from, 0).await {
        Err(PlatformError::NotRetained { first }) => {
            info!(event = "entries_dropped", first, from);
            return list(state, store, Some(from)).await;
        }
        page => page?,
    };
    // Updates that arrived during the read may be further ahead.
    let known = state.entries_next().unwrap_or_default();
    if known > page.next {
        return Ok(None);
    }
    record_store_regained(state);
    log_malformed(&page.listing);
    let changes = page.listing.changes.into_iter();
    let new = changes
        .filter(|(offset, _)| *offset >= known)
        .filter_map(|(offset, change)| Some((offset, entry_change(change)?)));
    let applied: Vec<(u64, EntryChange)> = new
        .filter(|(offset, change)| apply_change(state, *offset, change))
        .collect();
    record_current(state, page.next, applied);
    Ok(Some(update_since(state, from)))
}

/// Reads all entries. If `from` states where reading would have continued, returns an update with
/// the changes since, so that the other instances need not read all entries as well.
async fn list(
    state: &Rc<State>,
    store: &mut Store,
    from: Option<u64>,
) -> Result<Option<EntriesUpdate>, PlatformError> {
    state.metrics.count("store_calls", 1);
    let newest = store.newest(Topic::Targets).await?;
    if state.entries_next().is_some_and(|known| known > newest.end) {
        return Ok(None);
    }
    record_store_regained(state);
    let changes = apply_listing(state, newest.listing, newest.end);
    record_current(state, newest.end, changes);
    Ok(from.map(|from| update_since(state, from)))
}

/// Returns an update with all changes from offset `from` on.
fn update_since(state: &State, from: u64) -> EntriesUpdate {
    let entries = state.entries.borrow();
    let (from, changes) = entries.since(from);
    let next = entries.next().unwrap_or(from);
    EntriesUpdate {
        from,
        next,
        end: next,
        changes,
    }
}

fn entry_change(change: Change) -> Option<EntryChange> {
    match change {
        Change::Target(entry) => Some(EntryChange::Put(entry)),
        Change::TargetRemoved(id) => Some(EntryChange::Gone(id)),
        _ => None,
    }
}

/// Applies an update that the reader `peer` sent.
pub fn apply_update(state: &State, peer: SocketAddr, update: EntriesUpdate) {
    let Some(known_next) = state.entries_next() else {
        return;
    };
    let (from, next, end, changes) = (update.from, update.next, update.end, update.changes.len());
    if next > known_next {
        info!(event = "entries_update", %peer, from, next, end, changes, known = known_next);
    } else {
        debug!(event = "entries_update", %peer, from, next, end, changes, known = known_next);
    }
    if update.from <= known_next && update.next >= known_next {
        record_store_regained(state);
        let new = update.changes.into_iter();
        let new: Vec<_> = new.filter(|(offset, _)| *offset >= known_next).collect();
        for (offset, change) in &new {
            apply_change(state, *offset, change);
        }
        if update.next == update.end {
            record_current(state, update.next, new);
        } else {
            state.entries.borrow_mut().extend(update.next, new);
        }
    }
    let is_behind = state.entries_next().is_some_and(|next| next < update.end);
    if is_behind && state.entries_gap.get().is_none() {
        // A datagram was lost or reordered.
        state.entries_gap.set(Some(state.now()));
    }
}

/// Records that the entries in the store can be read again after a failure. Must be called before
/// what was read is applied, since entries that lapsed in an outage are kept for a while.
fn record_store_regained(state: &State) {
    if !state.entries_failed.replace(false) {
        return;
    }
    let now = state.now();
    let age = state.entries_age_us();
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

/// Records that all entries before offset `next`, the end of the store's records, are known, after
/// `changes` were applied.
fn record_current(state: &State, next: u64, changes: impl IntoIterator<Item = (u64, EntryChange)>) {
    state.entries_gap.set(None);
    state.entries.borrow_mut().extend(next, changes);
    state.targets_read.set(Some(state.now()));
}

fn log_malformed(listing: &Listing) {
    for (key, error) in &listing.malformed {
        warn!(event = "entry_malformed", key, %error);
    }
}

/// Replaces the targets by those of a complete listing of all records before offset `end`. Returns
/// the changes in the order of their offsets. The offsets of removals are not known; they get the
/// last one, at which they have happened in any case.
fn apply_listing(state: &State, listing: Listing, end: u64) -> Vec<(u64, EntryChange)> {
    log_malformed(&listing);
    let last = end.saturating_sub(1);
    let mut entries: Vec<TargetEntry> = Vec::new();
    let mut offsets: HashMap<TargetId, u64> = HashMap::new();
    for (offset, change) in listing.changes {
        if let Change::Target(entry) = change {
            record_version(state, &entry);
            offsets.insert(entry.id.clone(), offset.min(last));
            entries.push(entry);
        }
    }
    info!(event = "targets", count = entries.len());
    let (updated, missing) = state.targets.borrow_mut().replace_all(entries, state.now());
    let offset_of = |entry: &TargetEntry| offsets.get(&entry.id).copied().unwrap_or(last);
    let mut changes: Vec<(u64, EntryChange)> = updated
        .into_iter()
        .map(|entry| (offset_of(&entry), EntryChange::Put(entry)))
        .collect();
    changes.sort_by_key(|(offset, _)| *offset);
    changes.extend(missing.into_iter().map(|id| (last, EntryChange::Gone(id))));
    changes
}

/// Applies one change of an entry. Returns whether other instances must be told of it. A removal is
/// always told, since this instance may have removed the target for another reason.
fn apply_change(state: &State, offset: u64, change: &EntryChange) -> bool {
    match change {
        EntryChange::Put(entry) => put(state, entry, offset),
        EntryChange::Gone(id) => {
            remove_missing(state, id, offset);
            true
        }
    }
}

/// Handles the missing entry of a target.
fn remove_missing(state: &State, id: &TargetId, offset: u64) {
    if state.targets.borrow_mut().handle_missing(id, state.now()) {
        info!(event = "target_gone", target_id = %id, offset);
    }
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

/// Records when a version of a service was first seen.
fn record_version(state: &State, entry: &TargetEntry) {
    let key = (entry.service.clone(), entry.version.clone());
    let mut versions = state.versions_seen.borrow_mut();
    versions.entry(key).or_insert_with(|| state.now());
}

/// Removes targets whose entries did not come back, and closes connections to addresses without a
/// target.
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
