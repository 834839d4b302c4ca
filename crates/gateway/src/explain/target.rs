//! Explains what a target is for a request.

use balance::Target;
use serde_json::{Value, json};

use super::rounded;
use crate::{
    selection::{Exclusion, SelectedTarget, has_stale_report},
    state::State,
};

/// Returns a candidate with its load, its expected latency and its cost.
pub fn explain_candidate(
    state: &State,
    target: &Target,
    selected: &SelectedTarget,
    cost_ms: f64,
) -> Value {
    let now = state.now();
    let load = target.load.map(|load| {
        json!({
            "running": load.running,
            "waiting": load.waiting,
            "slots": load.slots,
            "slowdown_percent": load.slowdown_percent,
            "age_ms": now.since_us(load.reported_at) / 1_000,
        })
    });
    json!({
        "target": target.entry.id,
        "zone": target.entry.zone,
        "version": target.entry.version,
        "load": load,
        "needs_probe": has_stale_report(state, &target.entry.id),
        "unreported": target.unreported,
        "expected_ms": rounded(selected.estimate.latency_ms),
        "slot_free": selected.estimate.slot_free,
        "cost_ms": rounded(cost_ms),
        "cold": target.is_cold(now),
        "limit": selected.limit.map(|limit| json!({
            "rate": limit.rate, "own_rate": limit.own_rate, "age_ms": limit.age_ms,
        })),
    })
}

/// Returns a target that cannot get the request, with the reason.
pub fn explain_excluded(target: &Target, reason: Exclusion) -> Value {
    json!({
        "target": target.entry.id,
        "zone": target.entry.zone,
        "reason": reason.name(),
    })
}
