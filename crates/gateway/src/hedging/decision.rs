//! Decides when a hedge is due and whether it may be sent.

use balance::{BudgetUsage, HedgeConditions, HoldReason, MeanLoad, Route};
use model::ServiceName;

use crate::{
    reporting::is_running,
    selection::{is_eligible, processing_ms},
    send_limits::{limited_rate, reopens_ms},
    state::State,
};

/// Returns the time after an attempt at which a hedge is due, in milliseconds. `expected_ms` is the
/// expected latency at the first target, and `left_ms` the time left of the objective.
pub fn delay_ms(
    state: &State,
    service: &ServiceName,
    route: &Route,
    expected_ms: f64,
    left_ms: f64,
) -> f64 {
    due_ms(state, service, route, left_ms).unwrap_or_else(|| {
        balance::hedge_delay_ms(expected_ms, left_ms, processing_ms(state, route))
    })
}

/// Returns the delay of a hedge by the route's latencies. Returns `None` where the
/// delay is that of [`balance::hedge_delay_ms`]: without a policy, with too few latencies, for requests
/// that get no hedge, and during a rollout, whose evidence counts attempts that take longer.
pub fn due_ms(state: &State, service: &ServiceName, route: &Route, left_ms: f64) -> Option<f64> {
    if !route.idempotent || in_rollout(state, service) {
        return None;
    }
    let processing_ms = processing_ms(state, route);
    state.hedging.delay_ms(route, left_ms, processing_ms)
}

/// Returns why a hedge to `service` is held back now, apart from the limits on the number of hedges.
/// `is_suspect` states that a target has crashed under the request. Returns `None` if it is not held
/// back, or without a policy.
pub fn hold_reason(state: &State, service: &ServiceName, is_suspect: bool) -> Option<HoldReason> {
    let policy = state.hedging.policy()?;
    policy.hold_reason(&HedgeConditions {
        load: mean_load(state, service),
        is_limited: limited_rate(state, service).is_some() || reopens_ms(state, service).is_some(),
        in_rollout: in_rollout(state, service),
        is_suspect,
    })
}

/// Returns the mean busy share of the slots of the usable targets of `service`.
pub fn mean_load(state: &State, service: &ServiceName) -> f64 {
    let targets = state.targets.borrow();
    let usable = targets
        .of_service(service)
        .filter(|t| is_eligible(state, t));
    MeanLoad::of(usable, state.now()).per_slot
}

fn in_rollout(state: &State, service: &ServiceName) -> bool {
    state.rollouts.borrow().get(service).is_some_and(is_running)
}

/// Takes the allowance of one hedge to `service`. Returns whether there was one.
pub fn take_allowance(state: &State, service: &ServiceName) -> bool {
    receive(state, service);
    let now = state.now();
    let taken = state
        .hedging
        .with_limiter(service, now, |limiter| limiter.take(now));
    taken.unwrap_or(false)
}

/// Adds to `usage` what this instance gave up of its allowance for hedges to `service`. Called for each
/// report.
pub fn give_up_unused(state: &State, service: &ServiceName, usage: &mut BudgetUsage) {
    receive(state, service);
    let now = state.now();
    let unused = state
        .hedging
        .with_limiter(service, now, |limiter| limiter.unused_milli(now));
    usage.unused_hedges_milli = unused.unwrap_or_default();
}

/// Adds this instance's part of what the others gave up.
fn receive(state: &State, service: &ServiceName) {
    let now = state.now();
    let (others, covered) = state.fleet_usage.borrow().of_others(service, now);
    let unused = f64::from(others.unused_hedges_milli) / 1_000.0;
    let covered = usize::try_from(covered).unwrap_or(usize::MAX);
    // An instance that has just started knows few others, and a collector may have few reports.
    let instances = (state.members.borrow().live().count() + 1).max(covered);
    state.hedging.with_limiter(service, now, |limiter| {
        limiter.receive(now, unused, instances);
    });
}
