//! Advances the rollouts that this instance is responsible for and records their verdicts in the
//! store.

use std::{rc::Rc, time::Duration};

use async_std::task;
use balance::{COLLECT, Rollout, RolloutOrder, Verdict};
use model::InstanceId;
use platform::{Change, Listing, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{
    listing_log::log_unreadable, orders_apply::apply_verdict, state::State,
    store_era::record_failed_era,
};

/// Time between two checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Advances rollouts until the process ends.
pub async fn run_rollouts(state: Rc<State>) {
    let mut store = Store::new(state.settings.store);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for (order, verdict) in advance_rollouts(&state) {
            if let Err(error) = record_verdict(&state, &mut store, &order, verdict).await {
                record_failed_era(&state, &error, "verdicts");
                warn!(event = "verdict_unrecorded", service = %order.service, ?verdict, %error);
            }
        }
    }
}

/// Advances the rollouts of this instance. Returns the verdicts to record.
pub fn advance_rollouts(state: &State) -> Vec<(RolloutOrder, Verdict)> {
    let now = state.now();
    let live: Vec<(InstanceId, u64)> = state
        .members
        .borrow()
        .live()
        .map(|m| (m.name.clone(), m.incarnation))
        .collect();
    let mut verdicts = Vec::new();
    // The collectors have the evidence of all instances.
    if !state.has_duty(COLLECT) {
        return verdicts;
    }
    for rollout in state.rollouts.borrow_mut().values_mut() {
        // Other instances do not know the position of an order from before the store came back.
        let era = state.store_era.get();
        let may_record = era.is_none_or(|era| rollout.order.position.era == era);
        // The store may have lost what was recorded.
        if may_record && !rollout.is_recorded(rollout.verdict) {
            verdicts.push((rollout.order.clone(), rollout.verdict));
        }
        if rollout.verdict != Verdict::Running {
            continue;
        }
        let old_stage = rollout.stage;
        let verdict = rollout.advance(now, has_warm_targets(state, rollout), &live);
        if let Some(verdict) = verdict.filter(|_| may_record) {
            verdicts.push((rollout.order.clone(), verdict));
        }
        if rollout.stage != old_stage {
            state.request_digest();
            info!(event = "rollout_stage", service = %rollout.order.service,
                stage = rollout.stage.0, share = rollout.share_percent,
                evidence = ?rollout.evidence());
        }
    }
    verdicts
}

/// Whether there are warm targets of the new version that may get requests.
fn has_warm_targets(state: &State, rollout: &Rollout) -> bool {
    let now = state.now();
    let targets = state.targets.borrow();
    let zones_out = state.zones_out.borrow();
    targets.of_service(&rollout.order.service).any(|t| {
        t.entry.version == rollout.order.version
            && !t.is_leaving()
            && !t.is_cold(now)
            && !zones_out.contains(&t.entry.zone)
    })
}

/// Records a verdict in the store, unless it holds one already. A verdict that is known to have been
/// recorded before is recorded again as it was.
async fn record_verdict(
    state: &Rc<State>,
    store: &mut Store,
    order: &RolloutOrder,
    verdict: Verdict,
) -> Result<(), PlatformError> {
    state.metrics.count("store_calls", 2);
    let newest = store.newest(Topic::Status).await?;
    log_unreadable(Topic::Status, &newest);
    let listing = Listing::decode(Topic::Status, &newest.records);
    for (_, change) in listing.changes {
        if let Change::Verdict(recorded) = change {
            apply_verdict(state, &recorded, "store");
        }
    }
    let Some(verdict) = verdict_to_record(state, order, verdict) else {
        return Ok(());
    };
    store.record_verdict(order, verdict, newest.end).await?;
    let mut rollouts = state.rollouts.borrow_mut();
    if let Some(rollout) = rollouts.get_mut(&order.service)
        && rollout.order == *order
    {
        rollout.recorded = Some((verdict, order.position));
        rollout.verdict = verdict;
        info!(event = "rollout_recorded", service = %order.service, ?verdict,
            offset = %order.position, evidence = ?rollout.evidence());
    }
    Ok(())
}

/// Returns the verdict that is still to be recorded for `order`, if any. `verdict` is the one that
/// this instance has reached.
fn verdict_to_record(state: &State, order: &RolloutOrder, verdict: Verdict) -> Option<Verdict> {
    let rollouts = state.rollouts.borrow();
    let rollout = rollouts.get(&order.service)?;
    let verdict = if rollout.verdict == Verdict::Running {
        verdict
    } else {
        rollout.verdict
    };
    (rollout.order == *order && !rollout.is_recorded(verdict)).then_some(verdict)
}
