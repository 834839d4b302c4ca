//! Follows the records of the operator: configurations, orders of rollouts, zones taken out of
//! service. Three instances wait for new records at the store; the others learn of them by
//! heartbeats and fetch them from these instances.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{channel::Receiver, future::timeout, net::UdpSocket, prelude::FutureExt};
use balance::Rollout;
use platform::{Change, Listing, OperatorChange, PlatformError, RecordedVerdict, Store, Topic};
use tracing::{error, info, warn};

use crate::{backoff::Backoff, peers::send_heartbeat, state::State};

/// Instances that wait for records at the store. There is no delay if one of them is cut off from
/// the store and another one from its peers.
const LONG_POLLERS: usize = 3;
/// Longest wait for a new record in one read, in milliseconds. Each read costs money, but a read
/// that the store accepted before an outage or a network cut gets no response, and another instance
/// takes over only when it has timed out.
const LONG_POLL_MS: u64 = 1_200;
/// Time without new records after which an instance that does not wait at the store reads it once.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(25);
/// Time after the start in which an instance discovers its peers. Before that, every instance would
/// consider itself one of those that wait. A configuration must be in force within 2 s.
const DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Time after which an instance that does not wait at the store, and whose last call to it failed,
/// tries again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks of whether this instance is one of those that wait at the store.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for fetching records from a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a read that does not wait for new records.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Applies the records of the operator until the process ends. `peers_ahead` yields peers that have
/// read more records than this instance.
pub async fn follow_operator_records(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    peers_ahead: Receiver<SocketAddr>,
) {
    let mut store = Store::new(state.settings.store);
    let mut next = None;
    let mut is_failing = false;
    let mut backoff = Backoff::default();
    loop {
        let next_peer = async {
            // The channel closes only when the process ends.
            peers_ahead.recv().await.ok()
        };
        let read = async { Event::Read(read_records(&state, &mut store, next).await) };
        let event = read
            .race(async { next_peer.await.map_or(Event::Closed, Event::PeerAhead) })
            .await;
        let is_from_peer = matches!(event, Event::PeerAhead(_));
        let result = match event {
            Event::Read(result) => result,
            Event::Closed => return,
            Event::PeerAhead(peer) => {
                // The pending read may hang on a dead connection.
                store = Store::new(state.settings.store);
                let result = fetch_from_peer(&state, &mut store, peer, next).await;
                while peers_ahead.try_recv().is_ok() {}
                result
            }
        };
        match result {
            Ok(offset) => {
                if is_failing {
                    info!(event = "store_regained", reader = "orders");
                }
                is_failing = false;
                backoff.reset();
                if !is_from_peer {
                    state.has_store.set(true);
                }
                let has_new_records = next != Some(offset);
                next = Some(offset);
                state.operator_next.set(offset);
                state.operator_read.set(state.now());
                if has_new_records && is_long_poller(&state) {
                    send_heartbeat(&state, &socket).await;
                }
            }
            Err(PlatformError::NotRetained { first }) => {
                info!(event = "orders_dropped", first);
                next = None;
            }
            Err(error) => {
                if !is_failing {
                    warn!(event = "store_lost", reader = "orders", %error);
                }
                is_failing = true;
                if state.has_store.replace(false) {
                    // The others take over the duty once they receive this heartbeat.
                    send_heartbeat(&state, &socket).await;
                }
                async_std::task::sleep(backoff.pause()).await;
            }
        }
    }
}

/// Event that ends a wait for records.
enum Event {
    Read(Result<u64, PlatformError>),
    PeerAhead(SocketAddr),
    Closed,
}

/// Whether this instance is one of those that wait at the store.
fn is_long_poller(state: &State) -> bool {
    state.duty_rank("orders") < LONG_POLLERS
}

/// Returns `true` once this instance is one of those that wait at the store, or `false` when it is
/// time for a single read.
async fn wait_for_duty(state: &State) -> bool {
    let start = state.now();
    let limit = if state.has_store.get() {
        IDLE_READ_INTERVAL
    } else {
        RETRY_INTERVAL
    };
    while Duration::from_micros(state.now().since_us(start)) < limit {
        let age = Duration::from_micros(state.now().since_us(state.started));
        if age >= DISCOVERY_TIME && is_long_poller(state) {
            return true;
        }
        async_std::task::sleep(DUTY_CHECK_INTERVAL).await;
    }
    false
}

/// Fetches records from a peer that has them, or from the store if that fails.
async fn fetch_from_peer(
    state: &Rc<State>,
    store: &mut Store,
    peer: SocketAddr,
    next: Option<u64>,
) -> Result<u64, PlatformError> {
    let Some(from) = next else {
        return read_records(state, store, None).await;
    };
    let mut relay = Store::new(peer);
    let relayed = timeout(RELAY_TIMEOUT, relay.read(Topic::Operator, from, 0)).await;
    if let Ok(Ok(page)) = relayed
        && page.next > from
    {
        info!(event = "orders_passed_on", %peer, from, next = page.next);
        return Ok(take_page(state, page));
    }
    state.metrics.count("store_calls", 1);
    let read = timeout(READ_TIMEOUT, store.read(Topic::Operator, from, 0)).await;
    let page = read.map_err(|_| PlatformError::Timeout { limit_ms: 1_000 })??;
    Ok(take_page(state, page))
}

/// Applies a page of records and keeps it for peers that fetch it here. Returns the next offset.
fn take_page(state: &State, page: platform::Page) -> u64 {
    state.relay.borrow_mut().append(&page.records);
    apply_listing(state, page.listing);
    page.next
}

/// Reads new records once this instance may, or lists all of them if `next` is unknown. Returns the
/// next offset.
async fn read_records(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<u64>,
) -> Result<u64, PlatformError> {
    if let Some(from) = next {
        let wait_ms = if wait_for_duty(state).await {
            LONG_POLL_MS
        } else {
            0
        };
        state.metrics.count("store_calls", 1);
        let page = store.read(Topic::Operator, from, wait_ms).await?;
        return Ok(take_page(state, page));
    }
    state.metrics.count("store_calls", 1);
    let newest = store.newest(Topic::Operator).await?;
    let listed = newest.listing;
    remove_missing_zones(state, &listed);
    apply_listing(state, listed);
    if state.rollouts.borrow().is_empty() {
        return Ok(newest.end);
    }
    state.metrics.count("store_calls", 1);
    let verdicts = store.newest(Topic::Status).await?;
    for (_, change) in verdicts.listing.changes {
        if let Change::Verdict(recorded) = change {
            apply_verdict(state, &recorded, "store");
        }
    }
    Ok(newest.end)
}

/// Puts zones back into service that a complete listing does not contain any more.
fn remove_missing_zones(state: &State, listing: &Listing) {
    let mut zones = state.zones_out.borrow_mut();
    zones.retain(|zone| {
        listing
            .changes
            .iter()
            .any(|(_, c)| matches!(c, Change::Operator(OperatorChange::ZoneOut(z)) if z == zone))
    });
}

fn apply_listing(state: &State, listing: Listing) {
    for (key, error) in &listing.malformed {
        error!(event = "order_malformed", key, %error);
    }
    for (offset, change) in listing.changes {
        if let Change::Operator(change) = change {
            apply_change(state, offset, change);
        }
    }
}

fn apply_change(state: &State, offset: u64, change: OperatorChange) {
    let now = state.now();
    match change {
        OperatorChange::Config(config) => {
            let mut current = state.config.borrow_mut();
            let old = current.as_ref().map_or(0, |m| m.version);
            if config.version >= old {
                info!(event = "config", version = config.version, old, offset);
                *current = Some(Rc::new(*config));
            } else {
                warn!(
                    event = "config_ignored",
                    version = config.version,
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
        OperatorChange::RolloutWithdrawn(service) => {
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

/// Applies a verdict that was recorded in the store, if it belongs to the order that is known here.
pub fn apply_verdict(state: &State, recorded: &RecordedVerdict, source: &str) {
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
        info!(event = "rollout_verdict", service = %recorded.service, verdict = ?recorded.verdict,
            source);
        rollout.verdict = recorded.verdict;
    }
}
