//! Follows the entries of targets in the store: reads them when it is this instance's turn, or when
//! what the others tell is too old. What was read is applied here and sent to the others.

use std::{rc::Rc, time::Duration};

use async_std::{channel::Sender, future::timeout, net::UdpSocket};
use balance::{Position, ReadSchedule};
use model::Time;
use platform::{Listing, PlatformError, Store, Topic};
use rand::Rng;
use tracing::{info, warn};

use crate::{
    backoff::Backoff,
    entries_apply::{apply_listing, apply_page, apply_read},
    listing_log::log_unreadable,
    reporting::send_report,
    scheduling::control_delay_ms,
    state::State,
    store_era::{record_era, record_failed_era},
};

/// Time to wait for missing changes before the instance reads the store, in microseconds. The next
/// update of another reader may contain them.
const GAP_WAIT_US: u64 = 600_000;
/// Longest time between two checks of whether to read, in microseconds.
const CHECK_INTERVAL_US: u64 = 150_000;
/// Shortest time between two reads, in microseconds.
const MIN_INTERVAL_US: u64 = 300_000;
/// Time between two reads of a reader while entries that lapsed in an outage of the store may come
/// back, in microseconds.
const LAPSED_INTERVAL_US: u64 = 450_000;
/// Increase of the pause after a failed read for each doubling of an instance's rank. The first
/// instances notice the return of the store and update the others; the last of a hundred read at
/// most 3 s later.
const FAILURE_PAUSE_STEP: Duration = Duration::from_millis(350);

/// Keeps the targets up to date with their entries in the store until the process ends. Sends the
/// position up to which the others know the entries to `updates` when they are to be told more.
pub async fn follow_entries(state: Rc<State>, socket: Rc<UdpSocket>, updates: Sender<Position>) {
    let mut store = Store::new(state.settings.store);
    let mut last_read = Time(0);
    let mut backoff = Backoff::default();
    let mut retry_at = Time(0);
    let mut draw = 0;
    loop {
        sweep(&state);
        let rank = state.duty_rank("entries");
        let schedule = ReadSchedule { rank, draw };
        let wait_us = read_wait_us(&state, schedule, last_read, retry_at);
        if wait_us > 0 {
            let wait = Duration::from_micros(wait_us.min(CHECK_INTERVAL_US));
            if timeout(wait, state.entries_wanted()).await.is_err() {
                continue;
            }
        }
        last_read = state.now();
        draw = rand::rng().random_range(ReadSchedule::DRAWS);
        state.metrics.count("store_calls", 1);
        let era = state.entries.borrow().era();
        let known = state.entries_next().map(|offset| Position { era, offset });
        state.entries_asked.set(Some(last_read));
        let result = read(&state, &mut store).await;
        state.entries_asked.set(None);
        match result {
            Ok(()) => {
                state.has_store.set(true);
                backoff.reset();
                if let Some(known) = known
                    && schedule.is_teller()
                    && state.knows_peers()
                {
                    // If the channel is full, an update that covers this read is pending.
                    let _ = updates.try_send(known);
                }
            }
            Err(error) => {
                record_failed_era(&state, &error, "entries");
                record_failure(&state, &error);
                if state.has_store.replace(false) {
                    // The others take over the duty once they know.
                    send_report(&state, &socket).await;
                }
                let pause = backoff.pause() + FAILURE_PAUSE_STEP * (rank + 1).ilog2();
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                retry_at = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Returns the time until this instance reads the entries, in microseconds.
fn read_wait_us(state: &State, schedule: ReadSchedule, last_read: Time, retry_at: Time) -> u64 {
    let now = state.now();
    let gap_at = state
        .entries_gap
        .get()
        .map(|(since, _)| since.plus_us(GAP_WAIT_US));
    let scheduled = match state.entries_as_of.get() {
        None => Some(Time(0)),
        Some(_) if !state.knows_peers() => None,
        Some(_) if !schedule.is_reader() && !state.is_settled() => None,
        Some(as_of) => {
            let at = as_of.plus_us(schedule.read_age_us(state.entries_are_own.get()));
            let has_lapsed = schedule.is_reader() && state.targets.borrow().has_lapsed();
            let lapsed_at = last_read.plus_us(LAPSED_INTERVAL_US);
            Some(if has_lapsed { at.min(lapsed_at) } else { at })
        }
    };
    let scheduled = scheduled.map(|at| at.max(retry_at));
    let first = gap_at.into_iter().chain(scheduled).min();
    let first = first.map(|at| at.max(last_read.plus_us(MIN_INTERVAL_US)));
    first.map_or(CHECK_INTERVAL_US, |at| at.since_us(now))
}

fn record_failure(state: &State, error: &PlatformError) {
    if let Some((_, awaited)) = state.entries_gap.get() {
        // The missing changes are read again after the usual wait.
        state.entries_gap.set(Some((state.now(), awaited)));
    }
    if !state.entries_failed.replace(true) {
        let age_ms = state.entries_age_us().unwrap_or_default() / 1_000;
        warn!(event = "store_lost", reader = "entries", %error, age_ms,
            delay_ms = control_delay_ms(state));
    }
}

/// Reads the store once, applies the result and logs it.
async fn read(state: &Rc<State>, store: &mut Store) -> Result<(), PlatformError> {
    let start = state.now();
    let from = state.entries_next();
    let is_followed = match from {
        Some(from) => read_changes(state, store, from).await?,
        None => false,
    };
    if !is_followed {
        state.metrics.count("store_calls", 1);
        let asked = state.now();
        let newest = store.newest(Topic::Targets).await?;
        record_era(state, newest.end.era, "entries");
        log_unreadable(Topic::Targets, &newest);
        let listing = Listing::decode(Topic::Targets, &newest.records);
        apply_listing(state, asked, listing, newest.end);
    }
    info!(
        event = "entries_read",
        era = state.entries.borrow().era(),
        from = from.unwrap_or_default(),
        known = state.entries_next().unwrap_or_default(),
        took_ms = state.now().since_us(start) / 1_000
    );
    Ok(())
}

/// Reads all records from offset `from` on. Returns whether the store still has them, in the era in
/// which the offset was given out.
async fn read_changes(
    state: &Rc<State>,
    store: &mut Store,
    from: u64,
) -> Result<bool, PlatformError> {
    let era = state.entries.borrow().era();
    let mut from = Position { era, offset: from };
    loop {
        let asked = state.now();
        match store.read(Topic::Targets, from, 0).await {
            Ok(page) => {
                let listing = Listing::decode(Topic::Targets, &page.records);
                if page.is_last {
                    apply_read(state, asked, listing, page.next);
                    return Ok(true);
                }
                // Huge records of another writer can fill more than a page.
                apply_page(state, listing, page.next);
                from = page.next;
                state.metrics.count("store_calls", 1);
            }
            Err(PlatformError::NotRetained { first }) => {
                info!(event = "entries_dropped", first, %from);
                return Ok(false);
            }
            // An earlier era is an answer from before the store came back.
            Err(PlatformError::OtherEra { era, .. }) if era > from.era => {
                record_era(state, era, "entries");
                return Ok(false);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Removes targets whose entries did not come back, and closes connections to addresses without a
/// target or an instance.
fn sweep(state: &State) {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    state.crash_suspects.borrow_mut().sweep(now);
    if targets.sweep(now) {
        info!(event = "targets_lapsed", left = targets.len());
    }
    state.pool.sweep(now, |addr| targets.has_address(addr));
    let members = state.members.borrow();
    state
        .peer_pool
        .sweep(now, |addr| members.get(addr).is_some());
}

#[cfg(test)]
mod tests;
