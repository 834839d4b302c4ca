//! Applies what is known of the targets' entries in the store, from this instance's own reads and
//! from updates of other instances.

use std::{collections::HashMap, net::SocketAddr};

use balance::{EntryChange, Position, TargetEntry};
use model::{ServiceName, TargetId, Time, Version};
use platform::{Change, Listing};
use tracing::{debug, info, warn};

use crate::{entries_update::EntriesUpdate, state::State, store_era::check_peer_era};

/// Most updates that are kept because the ones that they continue have not arrived.
const MAX_EARLY: usize = 128;
/// Age of the entries from which failed reads count as an outage of the store, in microseconds.
/// Targets renew their entries every 1.5 s, and an entry lapses after three missed renewals.
const OUTAGE_US: u64 = 1_200_000;
/// Number of known versions from which on those without a target are forgotten.
const MAX_VERSIONS: usize = 1_024;

/// Applies the last records before `end`, which this instance has read. `as_of` is the time at which it
/// asked.
pub fn apply_read(state: &State, as_of: Time, listing: Listing, end: Position) {
    if apply_page(state, listing, end) {
        record_current(state, as_of, true);
    }
}

/// Applies records that this instance has read, up to the position `next`. They continue those that were
/// known when it read; updates that arrived meanwhile may be ahead of some or all of them. Returns
/// whether they are of the era in force.
pub fn apply_page(state: &State, listing: Listing, next: Position) -> bool {
    if next.era != state.entries.borrow().era() {
        // Another task has found a later era meanwhile.
        return false;
    }
    record_store_regained(state);
    log_malformed(&listing);
    let known = state.entries_next().unwrap_or_default();
    let changes = listing.changes.into_iter();
    let new = changes
        .filter(|(offset, _)| *offset >= known)
        .filter_map(|(offset, change)| Some((offset, entry_change(change)?)));
    let applied: Vec<(u64, EntryChange)> = new
        .filter_map(|(offset, change)| Some((offset, apply_own_change(state, offset, change)?)))
        .collect();
    state.entries.borrow_mut().extend(next.offset, applied);
    true
}

/// Applies a complete listing of the records before offset `end`, which this instance asked for at
/// `as_of`. Updates that arrived meanwhile may be ahead of it; then it has nothing new.
pub fn apply_listing(state: &State, as_of: Time, listing: Listing, end: Position) {
    if Some(end.era) != state.store_era.get() {
        return;
    }
    let end = end.offset;
    record_store_regained(state);
    if state.entries_next().is_none_or(|known| known <= end) {
        let changes = replace_all(state, listing, end);
        state.entries.borrow_mut().extend(end, changes);
    }
    record_current(state, as_of, true);
}

/// Applies an update that the reader `peer` sent, which was current at `as_of`.
pub fn apply_update(state: &State, peer: SocketAddr, update: EntriesUpdate, as_of: Time) {
    let era = update.era;
    if era > state.entries.borrow().era() {
        check_peer_era(state, era);
        return;
    }
    let Some(known) = state.entries_next() else {
        return;
    };
    if era != state.entries.borrow().era() {
        debug!(event = "entries_update", %peer, era, "from before the store came back");
        return;
    }
    let (from, next, end, changes) = (update.from, update.next, update.end, update.changes.len());
    if from > known {
        // A datagram was lost or overtaken.
        await_changes(state, end);
        let mut early = state.early_updates.borrow_mut();
        if early.len() < MAX_EARLY {
            early.insert(from, (peer, update, as_of));
        }
        return;
    }
    let age_ms = state.now().since_us(as_of) / 1_000;
    if next > known {
        info!(event = "entries_update", %peer, era, from, next, end, changes, known, age_ms);
    } else {
        debug!(event = "entries_update", %peer, era, from, next, end, changes, known, age_ms);
    }
    if next >= known {
        record_store_regained(state);
        let new = update.changes.into_iter();
        let new: Vec<_> = new.filter(|(offset, _)| *offset >= known).collect();
        for (offset, change) in &new {
            apply_change(state, *offset, change);
        }
        state.entries.borrow_mut().extend(next, new);
    }
    if state.entries_next().is_some_and(|known| known >= end) {
        record_current(state, as_of, false);
    } else {
        await_changes(state, end);
    }
    apply_early(state);
}

/// Records that the changes before offset `end` are missing.
fn await_changes(state: &State, end: u64) {
    let (since, awaited) = state.entries_gap.get().unwrap_or((state.now(), end));
    state.entries_gap.set(Some((since, awaited.max(end))));
}

/// Applies the updates that arrived before the ones that they continue.
fn apply_early(state: &State) {
    let known = state.entries_next().unwrap_or_default();
    let mut early = state.early_updates.borrow_mut();
    let Some(first) = early.first_entry().filter(|first| *first.key() <= known) else {
        return;
    };
    let (peer, update, as_of) = first.remove();
    drop(early);
    apply_update(state, peer, update, as_of);
}

fn entry_change(change: Change) -> Option<EntryChange> {
    match change {
        Change::Target(entry) => Some(EntryChange::Put(entry)),
        Change::TargetRemoved(id) => Some(EntryChange::Gone(id)),
        _ => None,
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

/// Records that there were no other records than the known ones at `as_of`. `is_own` states whether
/// this instance has asked the store itself.
fn record_current(state: &State, as_of: Time, is_own: bool) {
    let known = state.entries_next().unwrap_or_default();
    let gap = state.entries_gap.get();
    state
        .entries_gap
        .set(gap.filter(|(_, awaited)| *awaited > known));
    if state.entries_as_of.get().is_none_or(|at| at < as_of) {
        state.entries_as_of.set(Some(as_of));
        state.entries_are_own.set(is_own);
    }
}

fn log_malformed(listing: &Listing) {
    for (key, error) in &listing.malformed {
        warn!(event = "entry_malformed", key, %error);
    }
}

/// Replaces the targets by those of a complete listing of all records before offset `end`. Returns
/// the changes in the order of their offsets. The offsets of removals are not known; they get the
/// last one, at which they have happened in any case.
fn replace_all(state: &State, listing: Listing, end: u64) -> Vec<(u64, EntryChange)> {
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

/// Applies a change that this instance has read. Returns what the other instances must be told. A
/// removal is always told, since this instance may have removed the target for another reason.
fn apply_own_change(state: &State, offset: u64, change: EntryChange) -> Option<EntryChange> {
    let change = state.targets.borrow().shorten(change);
    let is_change = apply_change(state, offset, &change);
    (is_change || matches!(change, EntryChange::Gone(_))).then_some(change)
}

/// Applies one change of an entry. Returns whether it changes which requests the target may get.
fn apply_change(state: &State, offset: u64, change: &EntryChange) -> bool {
    match change {
        EntryChange::Put(entry) => put(state, entry, offset),
        EntryChange::Draining(id) => start_draining(state, id, offset),
        EntryChange::Gone(id) => remove_missing(state, id, offset),
    }
}

fn start_draining(state: &State, id: &TargetId, offset: u64) -> bool {
    let mut targets = state.targets.borrow_mut();
    let is_change = targets.start_draining(id);
    if is_change && let Some(target) = targets.get(id) {
        log_target(state, &target.entry, offset);
    }
    is_change
}

/// Handles the missing entry of a target. Returns whether it was removed.
fn remove_missing(state: &State, id: &TargetId, offset: u64) -> bool {
    let is_removed = state.targets.borrow_mut().handle_missing(id, state.now());
    if is_removed {
        let era = state.entries.borrow().era();
        info!(event = "target_gone", target_id = %id, era, offset);
    }
    is_removed
}

fn put(state: &State, entry: &TargetEntry, offset: u64) -> bool {
    record_version(state, entry);
    let is_change = state.targets.borrow_mut().put(entry.clone(), state.now());
    if is_change {
        log_target(state, entry, offset);
    }
    is_change
}

fn log_target(state: &State, entry: &TargetEntry, offset: u64) {
    let era = state.entries.borrow().era();
    info!(event = "target", target_id = %entry.id, service = %entry.service, zone = %entry.zone,
        version = %entry.version, draining = entry.draining, cold_ms = entry.cold_ms, era, offset);
}

/// Records when a version of a service was first seen. Of many versions, forgets those without a target.
fn record_version(state: &State, entry: &TargetEntry) {
    let key = (entry.service.clone(), entry.version.clone());
    let mut versions = state.versions_seen.borrow_mut();
    if versions.contains_key(&key) {
        return;
    }
    if versions.len() >= MAX_VERSIONS {
        let targets = state.targets.borrow();
        let is_used = |service: &ServiceName, version: &Version| {
            let mut of_service = targets.of_service(service);
            of_service.any(|target| target.entry.version == *version)
        };
        versions.retain(|(service, version), _| is_used(service, version));
    }
    versions.insert(key, state.now());
}

#[cfg(test)]
mod tests;
