//! Advances the rollouts that this instance is responsible for and records their verdicts in the
//! store.

use std::{rc::Rc, time::Duration};

use async_std::task;
use balance::{Rollout, RolloutOrder, Verdict};
use model::InstanceId;
use platform::{Change, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{operator_records::apply_verdict, state::State};

/// Time between two checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Advances rollouts until the process ends.
pub async fn run_rollouts(state: Rc<State>) {
    let mut store = Store::new(state.settings.store);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for (order, verdict) in advance_rollouts(&state) {
            if let Err(error) = record_verdict(&state, &mut store, &order, verdict).await {
                warn!(event = "verdict_unrecorded", service = %order.service, ?verdict, %error);
            }
        }
    }
}

/// Advances the rollouts of this instance. Returns the verdicts to record.
fn advance_rollouts(state: &State) -> Vec<(RolloutOrder, Verdict)> {
    let now = state.now();
    let live: Vec<(InstanceId, u64)> = state
        .members
        .borrow()
        .live(now)
        .map(|m| (m.name.clone(), m.incarnation))
        .collect();
    let mut verdicts = Vec::new();
    for rollout in state.rollouts.borrow_mut().values_mut() {
        if rollout.verdict != Verdict::Running || !state.has_duty(&duty_name(rollout)) {
            continue;
        }
        if !rollout.is_recorded {
            verdicts.push((rollout.order.clone(), Verdict::Running));
        }
        let old_stage = rollout.stage;
        if let Some(verdict) = rollout.advance(now, has_warm_targets(state, rollout), &live) {
            verdicts.push((rollout.order.clone(), verdict));
        }
        if rollout.stage != old_stage {
            info!(event = "rollout_stage", service = %rollout.order.service,
                stage = rollout.stage.0, share = rollout.stage.share_percent(),
                evidence = ?rollout.evidence());
        }
    }
    verdicts
}

/// Returns the name of the duty to advance a rollout. Its hash decides which instance has the duty.
fn duty_name(rollout: &Rollout) -> String {
    format!("rollout {} {}", rollout.order.service, rollout.order.offset)
}

/// Whether there are warm targets of the new version that may get requests.
fn has_warm_targets(state: &State, rollout: &Rollout) -> bool {
    let now = state.now();
    let targets = state.targets.borrow();
    let zones_out = state.zones_out.borrow();
    targets.of_service(&rollout.order.service).any(|t| {
        t.entry.version == rollout.order.version
            && !t.entry.draining
            && !t.is_cold(now)
            && !zones_out.contains(&t.entry.zone)
    })
}

/// Records a verdict in the store, unless another instance has recorded one.
async fn record_verdict(
    state: &Rc<State>,
    store: &mut Store,
    order: &RolloutOrder,
    verdict: Verdict,
) -> Result<(), PlatformError> {
    state.metrics.count("store_calls", 2);
    let newest = store.newest(Topic::Status).await?;
    for (_, change) in newest.listing.changes {
        if let Change::Verdict(recorded) = change {
            apply_verdict(state, &recorded, "store");
        }
    }
    let is_settled = state
        .rollouts
        .borrow()
        .get(&order.service)
        .is_none_or(|r| r.verdict != Verdict::Running || r.order != *order);
    if is_settled {
        return Ok(());
    }
    store.record_verdict(order, verdict, newest.end).await?;
    let mut rollouts = state.rollouts.borrow_mut();
    if let Some(rollout) = rollouts.get_mut(&order.service) {
        rollout.is_recorded = true;
        rollout.verdict = verdict;
        info!(event = "rollout_recorded", service = %order.service, ?verdict,
            evidence = ?rollout.evidence());
    }
    Ok(())
}
