//! Follows the records of the operator: configurations, orders of rollouts, zones taken out of
//! service. The collectors wait for new records at the store; the others learn of them by digests and
//! fetch them from the collectors.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{channel::Receiver, future::timeout, net::UdpSocket, prelude::FutureExt};
use balance::{COLLECT, COLLECTORS, Position};
use model::Time;
use platform::{Change, Listing, Page, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{
    backoff::Backoff,
    listing_log::log_unreadable,
    orders_apply::{Source, apply_orders, apply_verdict},
    reporting::send_report,
    state::State,
    store_era::{REWRITE_US, record_era, record_failed_era},
};

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
/// tries again, for up to [`RETRY_INSTANCES`] instances. With more it grows, so that the calls of those
/// that the store turns away do not grow with their number.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of instances with that interval.
const RETRY_INSTANCES: u32 = 50;
/// Time between two checks of whether this instance is one of those that wait at the store.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for fetching records from a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a read that does not wait for new records.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that knows more of the operator's records than this instance.
#[derive(Clone, Copy, Debug)]
pub struct PeerAhead {
    /// Address for other instances.
    pub addr: SocketAddr,
    /// Whether it has read more records. Otherwise only its configuration in force is newer, which
    /// the store may have lost.
    pub has_records: bool,
}

/// Applies the records of the operator until the process ends. `peers_ahead` yields peers that know
/// more than this instance.
pub async fn follow_operator_records(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    peers_ahead: Receiver<PeerAhead>,
) {
    let mut store = Store::new(state.settings.store);
    let mut next = state.joined_at.get();
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
                fetch_config(&state, peer.addr).await;
                while peers_ahead.try_recv().is_ok() {}
                result
            }
        };
        match result {
            Ok(position) => {
                if is_failing {
                    info!(event = "store_regained", reader = "orders");
                }
                is_failing = false;
                backoff.reset();
                if !is_from_peer {
                    state.has_store.set(true);
                }
                let has_new_records = next != Some(position);
                next = Some(position);
                state.operator_next.set(position);
                state.operator_read.set(state.now());
                if has_new_records && is_long_poller(&state) {
                    state.request_digest();
                }
            }
            Err(PlatformError::NotRetained { first }) => {
                info!(event = "orders_dropped", first, from = %state.operator_next.get());
                next = None;
            }
            Err(PlatformError::OtherEra { era, expected }) if era > expected => {
                record_era(&state, era, "orders");
                next = None;
            }
            Err(error) => {
                record_failed_era(&state, &error, "orders");
                if !is_failing {
                    warn!(event = "store_lost", reader = "orders", %error);
                }
                is_failing = true;
                if state.has_store.replace(false) {
                    // The others take over the duty once they know.
                    send_report(&state, &socket).await;
                }
                async_std::task::sleep(backoff.pause()).await;
            }
        }
    }
}

/// Event that ends a wait for records.
enum Event {
    Read(Result<Position, PlatformError>),
    PeerAhead(PeerAhead),
    Closed,
}

/// Whether this instance is one of those that wait at the store.
fn is_long_poller(state: &State) -> bool {
    // There is no delay if one of them is cut off from the store and another one from its peers.
    state.duty_rank(COLLECT) < COLLECTORS
}

/// Whether all records must be listed anew: the store has come back from an earlier copy since
/// `from`, or the operator has had the time to write again what was lost by that.
fn must_list(state: &State, from: Position) -> bool {
    let is_over = |since| state.now().since_us(since) >= REWRITE_US;
    state.store_era.get() > Some(from.era) || state.era_since.get().is_some_and(is_over)
}

/// Returns `true` once this instance is one of those that wait at the store, or `false` when it is
/// time for a single read or for a listing.
async fn wait_for_duty(state: &State, from: Position) -> bool {
    let start = state.now();
    while !is_read_due(state, start) && !must_list(state, from) {
        let age = Duration::from_micros(state.now().since_us(state.started));
        if age >= DISCOVERY_TIME && is_long_poller(state) {
            return true;
        }
        async_std::task::sleep(DUTY_CHECK_INTERVAL).await;
    }
    false
}

/// Whether an instance that has waited since `start`, and is no collector, reads the store once. It
/// does not while the collectors tell it that they have no newer records.
fn is_read_due(state: &State, start: Time) -> bool {
    let now = state.now();
    let instances = u32::try_from(state.members.borrow().live().count()).unwrap_or(u32::MAX);
    let (since, limit) = if state.has_store.get() {
        (start.max(state.operator_read.get()), IDLE_READ_INTERVAL)
    } else {
        let factor = (instances / RETRY_INSTANCES).max(1);
        (start, RETRY_INTERVAL.saturating_mul(factor))
    };
    Duration::from_micros(now.since_us(since)) >= limit
}

/// Fetches records from a peer that has them, or from the store if that fails.
async fn fetch_from_peer(
    state: &Rc<State>,
    store: &mut Store,
    peer: PeerAhead,
    next: Option<Position>,
) -> Result<Position, PlatformError> {
    let Some(from) = next.filter(|from| !must_list(state, *from)) else {
        return read_records(state, store, None).await;
    };
    if !peer.has_records {
        return Ok(from);
    }
    let peer = peer.addr;
    let mut relay = Store::new(peer);
    let relayed = timeout(RELAY_TIMEOUT, relay.read(Topic::Operator, from, 0)).await;
    if let Ok(Ok(page)) = relayed
        && page.next > from
    {
        info!(event = "orders_passed_on", %peer, %from, next = %page.next);
        return Ok(take_page(state, &page));
    }
    state.metrics.count("store_calls", 1);
    let read = timeout(READ_TIMEOUT, store.read(Topic::Operator, from, 0)).await;
    let page = read.map_err(|_| PlatformError::Timeout { limit_ms: 1_000 })??;
    Ok(take_page(state, &page))
}

/// Fetches the configuration in force at a peer, unless the records have brought it.
async fn fetch_config(state: &State, peer: SocketAddr) {
    if state.config_version() >= state.peer_config.get() {
        return;
    }
    let mut relay = Store::new(peer);
    match timeout(RELAY_TIMEOUT, relay.config_of_peer()).await {
        Ok(Ok(records)) => {
            info!(event = "config_passed_on", %peer, count = records.len());
            apply_orders(state, &records, Source::Read);
        }
        Ok(Err(error)) => warn!(event = "config_not_passed_on", %peer, %error),
        Err(_) => warn!(event = "config_not_passed_on", %peer, error = "timeout"),
    }
}

/// Applies a page of records and keeps it for peers that fetch it here. Returns the next position.
fn take_page(state: &State, page: &Page) -> Position {
    state.relay.borrow_mut().append(&page.records);
    apply_orders(state, &page.records, Source::Read);
    page.next
}

/// Reads new records once this instance may, or lists all of them if `next` is unknown or of an
/// earlier era of the store. Returns the next position.
async fn read_records(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<Position>,
) -> Result<Position, PlatformError> {
    let Some(from) = next else {
        return list_records(state, store).await;
    };
    let is_long_poller = wait_for_duty(state, from).await;
    if must_list(state, from) {
        return list_records(state, store).await;
    }
    let wait_ms = if is_long_poller { LONG_POLL_MS } else { 0 };
    state.metrics.count("store_calls", 1);
    let page = store.read(Topic::Operator, from, wait_ms).await?;
    Ok(take_page(state, &page))
}

/// Lists all records, and the verdicts on rollouts. Returns the next position.
async fn list_records(state: &Rc<State>, store: &mut Store) -> Result<Position, PlatformError> {
    state.metrics.count("store_calls", 1);
    let newest = store.newest(Topic::Operator).await?;
    log_unreadable(Topic::Operator, &newest);
    record_era(state, newest.end.era, "orders");
    let now = state.now();
    let is_rewriting = |since: &model::Time| now.since_us(*since) < REWRITE_US;
    state
        .era_since
        .set(state.era_since.get().filter(is_rewriting));
    let source = if state.era_since.get().is_some() {
        Source::RestoredListing
    } else {
        Source::Listing
    };
    apply_orders(state, &newest.records, source);
    info!(event = "orders_listed", end = %newest.end, count = newest.records.len(), ?source);
    if state.rollouts.borrow().is_empty() {
        return Ok(newest.end);
    }
    state.metrics.count("store_calls", 1);
    let verdicts = store.newest(Topic::Status).await?;
    log_unreadable(Topic::Status, &verdicts);
    let listing = Listing::decode(Topic::Status, &verdicts.records);
    for (_, change) in listing.changes {
        if let Change::Verdict(recorded) = change {
            apply_verdict(state, &recorded, "store");
        }
    }
    Ok(newest.end)
}
