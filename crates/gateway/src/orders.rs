//! Reads what the operator wrote: configurations, rollouts, zones taken out.

use std::{rc::Rc, time::Duration};

use async_std::{channel::Receiver, future::timeout, prelude::FutureExt, task};
use balance::Rollout;
use platform::{Change, Listing, OperatorChange, PlatformError, RecordedVerdict, Store, Topic};
use tracing::{error, info, warn};

use crate::{backoff::Backoff, state::State};

/// Longest wait for a new record in one read, in milliseconds. Each read is paid for; a connection
/// that went silent is found by its keep-alive, and by instances that have read further.
const WAIT_MS: u64 = 20_000;
/// Shortest time between two extra reads that were caused by other instances.
const EXTRA_PAUSE: Duration = Duration::from_millis(100);

/// Follows the operator's records until the process ends.
pub async fn follow_orders(state: Rc<State>, behind: Receiver<()>) {
    let mut store = Store::new(state.settings.store);
    let mut next = None;
    let mut is_lost = false;
    let mut backoff = Backoff::default();
    loop {
        let told = async {
            // The sender ends with the process only.
            let _ = behind.recv().await;
            None
        };
        let read = async { Some(step(&state, &mut store, next).await) };
        let done = if let Some(done) = read.race(told).await {
            done
        } else {
            // Another instance has read further: the waiting read may hang on a dead connection.
            store = Store::new(state.settings.store);
            task::sleep(EXTRA_PAUSE).await;
            while behind.try_recv().is_ok() {}
            catch_up(&state, &mut store, next).await
        };
        match done {
            Ok(at) => {
                if is_lost {
                    info!(event = "store_regained", reader = "orders");
                }
                is_lost = false;
                backoff.reset();
                next = Some(at);
                state.orders_next.set(at);
                state.orders_read.set(state.now());
            }
            Err(PlatformError::Dropped { first }) => {
                info!(event = "orders_dropped", first);
                next = None;
            }
            Err(error) => {
                if !is_lost {
                    warn!(event = "store_lost", reader = "orders", %error);
                }
                is_lost = true;
                task::sleep(backoff.pause()).await;
            }
        }
    }
}

async fn catch_up(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<u64>,
) -> Result<u64, PlatformError> {
    const LIMIT: Duration = Duration::from_secs(2);
    let Some(from) = next else {
        return step(state, store, None).await;
    };
    let read = timeout(LIMIT, store.read(Topic::Operator, from, 0)).await;
    let page = read.map_err(|_| PlatformError::Timeout { limit_ms: 2_000 })??;
    apply(state, page.listing);
    Ok(page.next)
}

async fn step(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<u64>,
) -> Result<u64, PlatformError> {
    state.metrics.count("store_calls", 1);
    if let Some(from) = next {
        let page = store.read(Topic::Operator, from, WAIT_MS).await?;
        apply(state, page.listing);
        return Ok(page.next);
    }
    let newest = store.newest(Topic::Operator).await?;
    let verdicts = store.newest(Topic::Status).await?;
    let listed = newest.listing;
    forget_missing(state, &listed);
    apply(state, listed);
    for (_, change) in verdicts.listing.changes {
        if let Change::Verdict(recorded) = change {
            note_verdict(state, &recorded, "store");
        }
    }
    Ok(newest.end)
}

/// Drops zones and rollouts that a whole listing does not show any more.
fn forget_missing(state: &State, listing: &Listing) {
    let mut zones = state.zones_out.borrow_mut();
    zones.retain(|zone| {
        listing
            .changes
            .iter()
            .any(|(_, c)| matches!(c, Change::Operator(OperatorChange::ZoneOut(z)) if z == zone))
    });
}

fn apply(state: &State, listing: Listing) {
    for (key, error) in &listing.malformed {
        error!(event = "order_malformed", key, %error);
    }
    for (offset, change) in listing.changes {
        if let Change::Operator(change) = change {
            apply_one(state, offset, change);
        }
    }
}

fn apply_one(state: &State, offset: u64, change: OperatorChange) {
    let now = state.now();
    match change {
        OperatorChange::Manifest(manifest) => {
            let mut current = state.manifest.borrow_mut();
            let old = current.as_ref().map_or(0, |m| m.version);
            if manifest.version >= old {
                info!(event = "config", version = manifest.version, old, offset);
                *current = Some(Rc::new(*manifest));
            } else {
                warn!(
                    event = "config_ignored",
                    version = manifest.version,
                    current = old,
                    offset
                );
            }
        }
        OperatorChange::Rollout(order) => {
            let mut rollouts = state.rollouts.borrow_mut();
            let known = rollouts.get(&order.service);
            if known.is_none_or(|r| r.order.offset < order.offset) {
                info!(event = "rollout", service = %order.service, version = %order.version,
                    limit_ms = order.limit_ms, offset);
                rollouts.insert(order.service.clone(), Rollout::new(order, now));
            }
        }
        OperatorChange::RolloutGone(service) => {
            info!(event = "rollout_withdrawn", service = %service, offset);
        }
        OperatorChange::ZoneOut(zone) => {
            info!(event = "zone_out", zone = %zone, offset);
            state.zones_out.borrow_mut().insert(zone);
        }
        OperatorChange::ZoneBack(zone) => {
            info!(event = "zone_back", zone = %zone, offset);
            state.zones_out.borrow_mut().remove(&zone);
        }
        OperatorChange::Unknown(key) => info!(event = "order_unknown", key, offset),
    }
}

/// Takes in a verdict that lies in the store, if it is on the order that is known here.
pub fn note_verdict(state: &State, recorded: &RecordedVerdict, source: &str) {
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&recorded.service) else {
        return;
    };
    let is_same = recorded.version == rollout.order.version
        && recorded
            .order
            .is_none_or(|order| order == rollout.order.offset);
    if !is_same {
        return;
    }
    rollout.is_recorded = true;
    if rollout.verdict != recorded.verdict {
        info!(event = "rollout_verdict", service = %recorded.service, verdict = ?recorded.verdict, source);
        rollout.verdict = recorded.verdict;
    }
}
