//! What the result of a send tells about the target, the route and a rollout.

use balance::{Route, Verdict};
use h1::Response;
use model::ServiceName;
use platform::{cold_ms, load_report};
use tracing::warn;

use crate::{selection::SelectedTarget, state::State};

/// Times the expected time from which a response counts as slow. A neighbour that gets noisy after the
/// choice makes a target up to 4 times slower, but rarely for a whole request.
const SLOW_FACTOR: f64 = 3.0;

/// Whether a response took far longer than expected.
pub fn is_slow(selected: &SelectedTarget, took_us: u64) -> bool {
    took_us as f64 / 1_000.0 > selected.estimate.latency_ms * SLOW_FACTOR
}

/// Whether a status tells the caller that the request was not run. Unless the target states that by
/// itself, it may have run, and the status must not be passed on.
pub fn claims_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Takes in load and warm-up from a response.
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

/// Takes in the time and size of a proper response.
pub fn record_processing_time(
    state: &State,
    route: &Route,
    selected: &SelectedTarget,
    response: &Response,
    took_us: u64,
) {
    let mut sizes = state.response_sizes.borrow_mut();
    sizes.record(route, response.body.len());
    // Work times are those of the version that is known.
    if selected.new_version {
        return;
    }
    let after = load_report(&response.headers, state.now())
        .map_or(selected.slowdown_percent, |load| load.slowdown_percent);
    let mut work = state.processing_times.borrow_mut();
    work.record(
        route,
        took_us as f64 / 1_000.0,
        selected.slowdown_percent,
        after,
    );
}

/// Counts a result for the target and for a rollout of its service.
pub fn record_outcome(
    state: &State,
    service: &ServiceName,
    route: &Route,
    selected: &SelectedTarget,
    is_good: bool,
) {
    state.record_result(&selected.id, is_good);
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(service) else {
        return;
    };
    if rollout.verdict != Verdict::Running {
        return;
    }
    let at = rollout.stage.0;
    let key = model::rendezvous(&route.name, "");
    rollout
        .own_evidence
        .record(selected.new_version, at, key, is_good);
    if rollout.stop_if_bad() {
        warn!(event = "rollout_stopped", service = %service, version = %rollout.order.version,
            stage = at, evidence = ?rollout.evidence().new);
    }
}
