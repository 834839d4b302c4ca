//! Records the result of an attempt for its target, its route and the rollout of its service.

use balance::{Route, Verdict};
use h1::Response;
use model::ServiceName;
use platform::{cold_ms, load_report};
use tracing::warn;

use crate::{
    pending_outcome::route_key, selection::SelectedTarget, state::State,
    version_filter::is_new_version,
};

/// Multiple of the expected latency from which a response counts as slow. A noisy neighbour that
/// starts after the selection makes a target up to 4 times slower, but rarely for a whole request.
const SLOW_FACTOR: f64 = 3.0;

/// Whether an attempt took far longer than expected when its target was selected.
pub fn is_slow(selected: &SelectedTarget, took_us: u64) -> bool {
    took_us as f64 / 1_000.0 > selected.estimate.latency_ms * SLOW_FACTOR
}

/// Whether callers conclude from a status that the request was not run. A response with such a
/// status must not be forwarded unless the target states that it did not run the request.
pub fn claims_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Records the load report and the remaining warm-up time in the headers of a response.
pub fn record_reports(state: &State, selected: &SelectedTarget, response: &Response) {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    let Some(target) = targets.get_mut(&selected.id) else {
        return;
    };
    if let Some(load) = load_report(&response.headers, now) {
        target.record_load(load);
    }
    if let Some(ms) = cold_ms(&response.headers) {
        target.record_cold_ms(now, ms);
    }
}

/// Records the processing time and the size of a valid response.
pub fn record_processing_time(
    state: &State,
    service: &ServiceName,
    route: &Route,
    selected: &SelectedTarget,
    response: &Response,
    took_us: u64,
) {
    let mut sizes = state.response_sizes.borrow_mut();
    sizes.record(route, response.body.len());
    // Only the old version counts for the usual processing times.
    if is_new_version(state, service, &selected.version) {
        return;
    }
    let after = load_report(&response.headers, state.now())
        .map_or(selected.slowdown_percent, |load| load.slowdown_percent);
    let mut processing_times = state.processing_times.borrow_mut();
    processing_times.record(
        route,
        took_us as f64 / 1_000.0,
        selected.slowdown_percent,
        after,
    );
}

/// Counts the result of an attempt for its target and for a running rollout of its service.
pub fn record_outcome(
    state: &State,
    service: &ServiceName,
    route: &Route,
    selected: &SelectedTarget,
    is_good: bool,
) {
    state.record_target_outcome(&selected.id, is_good);
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(service) else {
        return;
    };
    if rollout.verdict != Verdict::Running {
        return;
    }
    let stage_number = rollout.stage.0;
    // The target may have been selected before the order was known.
    let is_new = selected.version == rollout.order.version;
    rollout
        .own_evidence
        .record(is_new, stage_number, route_key(route), is_good);
    if rollout.stop_if_bad() {
        warn!(event = "rollout_stopped", service = %service, version = %rollout.order.version,
            stage = stage_number, evidence = ?rollout.evidence().new);
    }
}

#[cfg(test)]
mod tests;
