//! Counts and logs hedges and what became of them.

use balance::{HoldReason, Route};
use model::{ServiceName, Time};
use tracing::info;

use crate::{line_class::REQUESTS, selection::SelectedTarget, state::State};

/// Counts an idempotent request that is sent for the first time. It earns a part of a hedge.
pub fn record_request(state: &State, service: &ServiceName) {
    let now = state.now();
    let record = state
        .hedging
        .with_limiter(service, now, |limiter| limiter.record_request(now));
    if record.is_some() {
        state.metrics.count("hedgeable_requests", 1);
    }
}

/// Records how long an attempt that started at `started` took to a good response or timed out, or
/// has taken so far when its hedge got a response.
pub fn record_latency(state: &State, route: &Route, started: Time) {
    if state.hedging.policy().is_none() || !route.idempotent {
        return;
    }
    let now = state.now();
    let ms = now.since_us(started) as f64 / 1_000.0;
    state.hedging.record_latency(route, ms, now);
}

/// Logs a hedge of the request `id` to `selected`, `after_ms` after the first attempt.
pub fn record_sent(state: &State, id: Option<&str>, selected: &SelectedTarget, after_ms: f64) {
    if state.hedging.policy().is_some() {
        info!(target: REQUESTS, event = "hedge_sent", id = id.unwrap_or("-"),
            target_id = %selected.id, after_ms = after_ms.round());
    }
}

/// Counts and logs that a due hedge of the request `id` is not sent.
pub fn record_held(state: &State, id: Option<&str>, service: &ServiceName, reason: HoldReason) {
    if state.hedging.policy().is_none() {
        return;
    }
    state.metrics.count(held_metric(reason), 1);
    info!(target: REQUESTS, event = "hedge_held", id = id.unwrap_or("-"), service = %service,
        reason = reason.name());
}

/// Counts a lost attempt that was cancelled after `took_us`. `is_first` states whether the hedge won.
pub fn record_cancelled(state: &State, is_first: bool, took_us: u64) {
    if state.hedging.policy().is_none() {
        return;
    }
    state.metrics.count("hedges_cancelled", 1);
    state.metrics.count("hedges_lost_ms", took_us / 1_000);
    if is_first {
        state.metrics.count("hedges_won", 1);
    }
}

fn held_metric(reason: HoldReason) -> &'static str {
    match reason {
        HoldReason::Busy => "hedges_held_busy",
        HoldReason::Limited => "hedges_held_limited",
        HoldReason::Rollout => "hedges_held_rollout",
        HoldReason::Suspect => "hedges_held_suspect",
        HoldReason::Exhausted => "hedges_held_exhausted",
        HoldReason::RetryBudget => "hedges_held_retry_budget",
        HoldReason::Share => "hedges_held_share",
        HoldReason::NoTarget => "hedges_held_no_target",
    }
}
