//! Runs the state machine of the holder: its calls to the store and to the platform.

use std::{rc::Rc, sync::Arc, time::Duration};

use async_std::task;
use balance::{
    COLLECT, Position,
    usage::{CallOutcome, StoreStep, UsageListing, UsageReport},
};
use model::Time;
use platform::{PlatformError, Store, UsageClient, usage_body};
use tracing::{error, info, warn};

use crate::{
    state::State,
    usage::{UsageState, moment},
};

/// Time between two turns of the state machine.
const TURN: Duration = Duration::from_millis(100);
/// Time in which the other instances send a new collector the totals of the latest windows, in
/// microseconds.
const FILL_US: u64 = 3_000_000;
/// Age of the windows whose totals a new collector gets, in microseconds.
const FILLED_US: u64 = 10_000_000;

/// Time before a report is due until which a window waits for names of workspaces, in microseconds. It
/// leaves room for the record and for two calls.
const NAMES_MARGIN_US: u64 = 3_000_000;

/// Keeps to the usage topic in the store until the process ends.
pub async fn hold_claim(state: Rc<State>) {
    let Some(usage) = &state.usage else { return };
    let mut store = Store::new(state.settings.store);
    let mut token = None;
    loop {
        task::sleep(TURN).await;
        if let Some(step) = next_step(&state, usage) {
            state.metrics.count("store_calls", 1);
            take_step(&state, usage, &mut store, step).await;
        }
        let held = usage.holder.borrow().token();
        if held != token {
            info!(event = "usage_claim", token = held, old = token);
            token = held;
        }
        log_violations(&state, usage);
    }
}

/// Returns the next call to the store.
fn next_step(state: &State, usage: &UsageState) -> Option<StoreStep> {
    let at = moment(state, usage);
    usage.record_turn(at.now);
    let rank = claim_rank(state, usage, at.now);
    let mut holder = usage.holder.borrow_mut();
    if let Some(era) = state.store_era.get() {
        holder.record_era(era, at);
    }
    holder.next_store_step(at, rank, |window| body_of(usage, window, at.now))
}

/// Returns the rank of this collector; `None` if it must not hold the claim.
fn claim_rank(state: &State, usage: &UsageState, now: Time) -> Option<u64> {
    let mut peak = usage.live_peak.get();
    let is_cut_off = peak.record(|| state.members.borrow().live().count() + 1, now);
    usage.live_peak.set(peak);
    let is_collector = state.is_collector.get() && !state.is_leaving();
    let since = usage.collector_since.get().filter(|_| is_collector);
    usage
        .collector_since
        .set(is_collector.then(|| since.unwrap_or(now)));
    let error_us = usage.clock_check.borrow().error_us(now);
    if usage.clock_error_us.replace(error_us).is_some() != error_us.is_some() {
        warn!(
            event = "usage_clock_wrong",
            behind_ms = error_us.map(|us| us / 1_000)
        );
    }
    let rank = || state.duty_rank(COLLECT) as u64;
    (is_collector && !is_cut_off && error_us.is_none()).then(rank)
}

/// Returns the body of a window that is decided now; `None` if the totals may be incomplete.
fn body_of(usage: &UsageState, window: u64, now: Time) -> Option<Arc<str>> {
    let since = usage.collector_since.get()?;
    let ended_us = usage.bounds.end_us(window);
    let filled_from = usage
        .clock
        .borrow()
        .true_us(since)
        .saturating_sub(FILLED_US);
    let is_filled = now.since_us(since) >= FILL_US && ended_us >= filled_from;
    if !is_filled || !usage.is_running(now) {
        return None;
    }
    let names = usage.names.borrow();
    let true_us = usage.clock.borrow().true_us(now);
    let present = usage.bounds.window_at(true_us);
    let sums = usage.totals.borrow().kept_sums(window, present)?;
    let known = sums
        .iter()
        .filter_map(|(hash, sum)| Some((names.get(*hash)?, *sum)));
    let counts = known.collect::<std::collections::BTreeMap<_, _>>();
    let unknown = sums.len() - counts.len();
    // The configuration with the names may reach this instance later than those that have counted.
    let names_until = (ended_us + usage.bounds.due_us).saturating_sub(NAMES_MARGIN_US);
    if unknown > 0 && true_us < names_until {
        return None;
    }
    if unknown > 0 {
        warn!(event = "usage_names_unknown", window, unknown);
    }
    let total: u64 = counts.values().sum();
    info!(
        event = "usage_decided",
        window,
        workspaces = counts.len(),
        total
    );
    Some(usage_body(window, &counts))
}

/// Makes a call to the store and records its outcome.
async fn take_step(state: &State, usage: &UsageState, store: &mut Store, step: StoreStep) {
    let asked = state.now();
    match step {
        StoreStep::List => {
            let listing = list(state, store).await;
            let at = moment(state, usage);
            usage.holder.borrow_mut().record_listing(at, asked, listing);
        }
        StoreStep::Append { record, at } => {
            let (outcome, error) = store.append_usage(&record, at).await;
            if let Some(error) = error {
                warn!(event = "usage_unrecorded", %at, %error);
            }
            let at = moment(state, usage);
            usage.holder.borrow_mut().record_append(at, outcome);
        }
    }
}

/// Lists the usage records. Without a topic, which the first append creates, there are none.
async fn list(state: &State, store: &mut Store) -> Option<UsageListing> {
    match (store.list_usage().await, state.store_era.get()) {
        (Ok((listing, errors)), _) => {
            if let Some(error) = errors.first() {
                warn!(event = "usage_unreadable", count = errors.len(), %error);
            }
            Some(listing)
        }
        (Err(PlatformError::Refused { status: 404 }), Some(era)) => Some(UsageListing {
            end: Position { era, offset: 0 },
            ..UsageListing::default()
        }),
        (Err(error), _) => {
            warn!(event = "usage_unlisted", %error);
            None
        }
    }
}

/// Sends the reports of the holder until the process ends.
pub async fn send_reports(state: Rc<State>) {
    let Some(usage) = &state.usage else { return };
    let client = UsageClient::new(usage.address, state.instance_id().clone());
    loop {
        task::sleep(TURN).await;
        let report = usage.holder.borrow_mut().next_call(moment(&state, usage));
        if let Some(report) = report {
            send_report(&state, usage, &client, &report).await;
        }
    }
}

async fn send_report(
    state: &State,
    usage: &UsageState,
    client: &UsageClient,
    report: &UsageReport,
) {
    let may_send = || usage.holder.borrow().may_send(state.now(), report);
    let sent = client.send(report, may_send).await;
    let at = moment(state, usage);
    let (window, token) = (report.window, report.token);
    let age_ms = at.true_us.saturating_sub(usage.bounds.end_us(window)) / 1_000;
    let outcome = match sent {
        Ok(CallOutcome::Accepted) => {
            state.metrics.count("usage_reports", 1);
            info!(event = "usage_reported", window, token, age_ms);
            CallOutcome::Accepted
        }
        Ok(outcome) => {
            state.metrics.count("usage_refusals", 1);
            warn!(event = "usage_refused", window, token, age_ms, ?outcome);
            outcome
        }
        Err(error) => {
            state.metrics.count("usage_failures", 1);
            warn!(event = "usage_unsent", window, token, age_ms, %error);
            CallOutcome::Failed
        }
    };
    usage.holder.borrow_mut().record_call(at.now, outcome);
}

/// Logs and counts violated invariants. The report in question was not sent.
fn log_violations(state: &State, usage: &UsageState) {
    let mut holder = usage.holder.borrow_mut();
    for code in holder.take_violations() {
        state.metrics.count("usage_violations", 1);
        error!(event = "invariant_violated", code = code.number(), text = code.text(),
            windows = ?holder.conflicts());
    }
}

#[cfg(test)]
mod tests;
