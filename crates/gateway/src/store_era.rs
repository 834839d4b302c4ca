//! The era of the store. It rises when the store has come back from an earlier copy: what was
//! written since is lost, and offsets are given out again.

use platform::PlatformError;
use tracing::info;

use crate::state::State;

/// Time after the era has risen in which the operator and the targets write again what was lost, in
/// microseconds. Until then, what is missing from the store is no evidence that it has ended.
pub const REWRITE_US: u64 = 5_000_000;

/// Shortest time between two reads because of the era of a peer's entries, in microseconds.
const CHECK_INTERVAL_US: u64 = 500_000;

/// Records the era that a response of the store to the reader `source` states. If it is later than
/// the known one, everything that is known by offsets is read anew.
pub fn record_era(state: &State, era: u64, source: &str) {
    let known = state.store_era.get();
    if known.is_some_and(|known| era <= known) {
        return;
    }
    state.store_era.set(Some(era));
    let entries_end = state.entries_next();
    state.entries.borrow_mut().begin_era(era);
    state.early_updates.borrow_mut().clear();
    let Some(old) = known else {
        return;
    };
    let now = state.now();
    info!(event = "store_era", era, old, source, orders_end = %state.operator_next.get(),
        entries_end);
    state.era_since.set(Some(now));
    state.fresh_since.set(now);
    state.confirmed_until.set(model::Time(0));
    state.entries_gap.set(None);
    state.targets.borrow_mut().record_restore(now);
    for rollout in state.rollouts.borrow_mut().values_mut() {
        rollout.recorded = None;
    }
    state.request_entries();
}

/// Asks the store at once whether it has come back from an earlier copy, if a peer's entries are of
/// a later era. While reads fail, the usual pauses between them hold.
pub fn check_peer_era(state: &State, era: u64) {
    let now = state.now();
    let is_due = |at| now.since_us(at) >= CHECK_INTERVAL_US;
    if era > state.entries.borrow().era()
        && !state.entries_failed.get()
        && state.era_checked.get().is_none_or(is_due)
    {
        state.era_checked.set(Some(now));
        state.request_entries();
    }
}

/// Records the era of a call that failed because of it.
pub fn record_failed_era(state: &State, error: &PlatformError, source: &str) {
    if let PlatformError::OtherEra { era, .. } = error {
        record_era(state, *era, source);
    }
}
