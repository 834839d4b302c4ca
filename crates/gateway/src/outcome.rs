//! What the result of a send tells about the target, the route and a rollout.

use balance::{Route, Verdict};
use h1::Response;
use model::ServiceName;
use platform::{cold_ms, load_report};
use tracing::warn;

use crate::{choose::Pick, state::State};

/// Times the expected time from which a response counts as slow. A neighbour that gets noisy after the
/// choice makes a target up to 4 times slower, but rarely for a whole request.
const SLOW_FACTOR: f64 = 3.0;

/// Whether a response took far longer than expected.
pub fn is_slow(pick: &Pick, took_us: u64) -> bool {
    took_us as f64 / 1_000.0 > pick.outlook.latency_ms * SLOW_FACTOR
}

/// Whether a status tells the caller that the request was not run. Unless the target states that by
/// itself, it may have run, and the status must not be passed on.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Takes in load and warm-up from a response.
pub fn learn(state: &State, pick: &Pick, response: &Response) {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    let Some(target) = targets.get_mut(&pick.id) else {
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
pub fn note_work(state: &State, route: &Route, pick: &Pick, response: &Response, took_us: u64) {
    let mut sizes = state.sizes.borrow_mut();
    sizes.record(route, response.body.len());
    // Work times are those of the version that is known.
    if pick.is_new {
        return;
    }
    let after =
        load_report(&response.headers, state.now()).map_or(pick.pace, |load| load.slowdown_percent);
    let mut work = state.work.borrow_mut();
    work.record(route, took_us as f64 / 1_000.0, pick.pace, after);
}

/// Counts a result for the target and for a rollout of its service.
pub fn judge(state: &State, service: &ServiceName, route: &Route, pick: &Pick, is_good: bool) {
    state.note_outcome(&pick.id, is_good);
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(service) else {
        return;
    };
    if rollout.verdict != Verdict::Running {
        return;
    }
    let at = rollout.stage.0;
    let key = model::rendezvous(&route.name, "");
    rollout.own_evidence.record(pick.is_new, at, key, is_good);
    if rollout.stop_if_bad() {
        warn!(event = "rollout_stopped", service = %service, version = %rollout.order.version,
            stage = at, evidence = ?rollout.evidence().new);
    }
}
