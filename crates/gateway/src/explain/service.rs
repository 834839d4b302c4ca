//! Explains the decision for one service of a route.

use std::sync::Arc;

use balance::{GatewayConfig, Route, Target, WeightedService, Workspace};
use model::{Code, ServiceName};
use serde_json::{Value, json};

use super::{
    refusal, rounded,
    target::{explain_candidate, explain_excluded},
};
use crate::{
    admission::{Admission, is_too_late},
    hedging,
    reporting::is_running,
    returns::preview,
    selection::{
        Criteria, Exclusion, SelectedTarget, min_zone_targets, preferred, ranked_for_trial, score,
        trial_key, usable,
    },
    send_limits::{SendLimits, limited_rate, reopens_ms},
    state::State,
    version_filter::VersionFilter,
};

/// Returns the explanation for the requests of `route` that go to the service `part`. During a rollout,
/// there is one decision for each version.
pub fn explain_service(
    state: &State,
    config: &GatewayConfig,
    route: &Route,
    workspace: Option<&Arc<Workspace>>,
    part: &WeightedService,
) -> Value {
    let service = &part.service;
    let workspace = workspace.map(|w| &**w);
    let urgency_rank = config.urgency_rank(route, workspace, service);
    let is_urgent = config.is_urgent(route, workspace);
    let rollout = state.rollouts.borrow().get(service).map(|r| {
        json!({
            "version": r.order.version,
            "verdict": r.verdict,
            "stage": r.stage.0,
            "share_percent": r.share_percent,
            "stopped": r.is_stopped,
        })
    });
    let runs_rollout = state.rollouts.borrow().get(service).is_some_and(is_running);
    let versions: &[bool] = if runs_rollout {
        &[false, true]
    } else {
        &[false]
    };
    let decisions = versions.iter().map(|new_version| {
        let criteria = Criteria {
            service,
            route,
            new_version: *new_version,
            urgency_rank,
            may_be_limited: true,
            tried: &[],
        };
        explain_decision(state, &criteria, is_urgent)
    });
    json!({
        "service": service,
        "weight": part.weight,
        "load": (hedging::mean_load(state, service) * 1_000.0).round() / 1_000.0,
        "urgency_rank": urgency_rank,
        // Unless it is reached, requests go through another instance if one takes them.
        "contact": state.reach.borrow().contact(service).name(),
        "rollout": rollout,
        "decisions": decisions.collect::<Value>(),
    })
}

/// Returns the candidates of the first round in the order of their costs, why others are excluded, and
/// what would be done with the request. The selection itself adds up to 60% to each cost at random,
/// probes the first few, and takes the best.
fn explain_decision(state: &State, criteria: &Criteria<'_>, is_urgent: bool) -> Value {
    let now = state.now();
    let targets = state.targets.borrow();
    let version_filter = VersionFilter::of(state, criteria.service);
    let limits = SendLimits::of(state, criteria.service);
    let (mut eligible, mut excluded) = (Vec::new(), Vec::new());
    for target in targets.of_service(criteria.service) {
        match Exclusion::of(state, now, criteria, &version_filter, target) {
            Some(reason) => excluded.push(explain_excluded(target, reason)),
            None => eligible.push(target),
        }
    }
    let pool = usable(state, criteria, &limits, eligible.clone());
    let is_in = |list: &[&Target], target: &Target| {
        list.iter().any(|other| other.entry.id == target.entry.id)
    };
    for target in eligible.iter().filter(|t| !is_in(&pool, t)) {
        let reason = Exclusion::of_unused(state, criteria, &limits, target);
        excluded.push(explain_excluded(target, reason));
    }
    let usable_count = pool.len();
    let considered = if let Some(key) = trial_key(state, criteria) {
        ranked_for_trial(pool, key)
    } else {
        let preferred = preferred(state, pool, 0, min_zone_targets(state, criteria.route));
        preferred.iter().map(|t| t.entry.id.clone()).collect()
    };
    let scored = considered
        .iter()
        .map(|id| score(state, criteria, &limits, id));
    let mut scored: Vec<(f64, SelectedTarget)> = scored.flatten().collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    let candidates = scored.iter().filter_map(|(cost_ms, selected)| {
        let target = targets.get(&selected.id)?;
        Some(explain_candidate(state, target, selected, *cost_ms))
    });
    json!({
        "new_version": criteria.new_version,
        "candidates": candidates.collect::<Value>(),
        "not_preferred": usable_count - considered.len(),
        "excluded": excluded,
        "admission": explain_admission(state, is_urgent, criteria, scored.first()),
        "hedge": explain_hedge(state, criteria, scored.first()),
    })
}

/// Returns whether the request would be sent to the first candidate, and otherwise how long it may wait
/// and how it would be refused.
fn explain_admission(
    state: &State,
    is_urgent: bool,
    criteria: &Criteria<'_>,
    first: Option<&(f64, SelectedTarget)>,
) -> Value {
    let (service, rank) = (criteria.service, criteria.urgency_rank);
    let returns = preview(state, criteria.route, service, rank);
    let refused_at_once =
        |code| json!({"admitted": false, "wait_ms": 0.0, "refused": refusal(code)});
    if returns.is_some_and(|returns| is_too_late(&returns.ask)) {
        return refused_at_once(Code::CannotMeet);
    }
    let Some((_, selected)) = first else {
        return refused_at_once(no_target_code(state, service));
    };
    let estimate = &selected.estimate;
    match Admission::of(criteria.route, is_urgent, returns.as_ref(), 0.0, estimate) {
        Admission::Admitted => json!({"admitted": true, "wait_ms": 0.0, "refused": null}),
        Admission::Refused => refused_at_once(Code::CannotMeet),
        Admission::Waits { limit_ms } => json!({
            "admitted": false,
            "wait_ms": rounded(limit_ms),
            "refused": refusal(Code::CannotMeet),
        }),
    }
}

/// Returns the code of a request for which no target is left.
fn no_target_code(state: &State, service: &ServiceName) -> Code {
    let is_limited = limited_rate(state, service).is_some() || reopens_ms(state, service).is_some();
    if is_limited {
        Code::LimitReached
    } else {
        Code::NoTarget
    }
}

/// Returns when a hedge would be due after the first attempt, and what would hold it back now. `null`
/// for requests that get no hedge.
fn explain_hedge(
    state: &State,
    criteria: &Criteria<'_>,
    first: Option<&(f64, SelectedTarget)>,
) -> Value {
    let (route, service) = (criteria.route, criteria.service);
    let Some((_, selected)) = first.filter(|_| route.idempotent) else {
        return Value::Null;
    };
    let (expected_ms, left_ms) = (selected.estimate.latency_ms, route.objective_ms as f64);
    let delay_ms = hedging::delay_ms(state, service, route, expected_ms, left_ms);
    let policy = state.hedging.policy();
    json!({
        "delay_ms": rounded(delay_ms),
        "held": hedging::hold_reason(state, service, false).map(balance::HoldReason::name),
        "share": policy.map(|policy| policy.share),
        "allowance": policy.map(|_| rounded(state.hedging.available(service))),
    })
}
