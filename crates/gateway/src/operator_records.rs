//! Follows the records of the operator: configurations, orders of rollouts, zones taken out of
//! service. The collectors wait for new records at the store; the others learn of them by digests and
//! fetch them from the collectors. Whoever does not learn in time that there are no newer ones reads
//! the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{channel::Receiver, future::timeout, net::UdpSocket, prelude::FutureExt};
use balance::{COLLECT, FollowSchedule, Position};
use model::Time;
use platform::{Change, Listing, Page, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{
    backoff::Backoff,
    listing_log::log_unreadable,
    operator_age::{operator_age_ms, record_operator_as_of},
    orders_apply::{Source, apply_orders, apply_verdict},
    reporting::send_report,
    scheduling::control_delay_ms,
    state::State,
    store_era::{REWRITE_US, record_era, record_failed_era},
};

/// Time after the start in which an instance discovers its peers. Before that, every instance would
/// consider itself one of those that wait. A configuration must be in force within 2 s.
const DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Time after which an instance whose last call to the store failed, and that learns from others what
/// is new, tries again, for up to [`RETRY_INSTANCES`] instances. With more it grows, so that the calls
/// of those that the store turns away do not grow with their number.
const RETRY_INTERVAL_MS: u64 = 5_000;
/// Largest number of instances with that interval.
const RETRY_INSTANCES: u64 = 50;
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
    /// Position of the next record that it reads.
    pub next: Position,
    /// Time as of which there was none.
    pub as_of: Time,
}

/// Up to where this instance knows the operator's records.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Position of the next record.
    next: Position,
    /// Time as of which there was none.
    as_of: Time,
    /// Whether the store has answered.
    from_store: bool,
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
    let mut failed_at = None;
    let mut retry_at = Time(0);
    let mut backoff = Backoff::default();
    loop {
        let next_peer = async {
            // The channel closes only when the process ends.
            peers_ahead.recv().await.ok()
        };
        let pause = Duration::from_micros(retry_at.since_us(state.now()));
        let read = async {
            // Peers that know more are heard during the pause.
            async_std::task::sleep(pause).await;
            Event::Read(read_records(&state, &mut store, next, failed_at).await)
        };
        let event = read
            .race(async { next_peer.await.map_or(Event::Closed, Event::PeerAhead) })
            .await;
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
            Ok(Progress {
                next: position,
                as_of,
                from_store,
            }) => {
                if from_store {
                    if failed_at.take().is_some() {
                        info!(event = "store_regained", reader = "orders");
                    }
                    backoff.reset();
                    state.has_store.set(true);
                }
                let has_new_records = next != Some(position);
                next = Some(position);
                state.operator_next.set(position);
                record_operator_as_of(&state, position, as_of);
                if has_new_records && schedule(&state).is_waiting() {
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
                if failed_at.is_none() {
                    let age_ms = operator_age_ms(&state);
                    warn!(event = "store_lost", reader = "orders", %error, age_ms,
                        delay_ms = control_delay_ms(&state));
                }
                failed_at = Some(state.now());
                if state.has_store.replace(false) {
                    // The others take over the duty once they know.
                    send_report(&state, &socket).await;
                }
                let pause_us = u64::try_from(backoff.pause().as_micros()).unwrap_or(u64::MAX);
                retry_at = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Event that ends a wait for records.
enum Event {
    Read(Result<Progress, PlatformError>),
    PeerAhead(PeerAhead),
    Closed,
}

fn schedule(state: &State) -> FollowSchedule {
    FollowSchedule {
        rank: state.duty_rank(COLLECT),
        interval_ms: state.members.borrow().interval_ms(),
    }
}

/// Whether all records must be listed anew: the store has come back from an earlier copy since
/// `from`, or the operator has had the time to write again what was lost by that.
fn must_list(state: &State, from: Position) -> bool {
    let is_over = |since| state.now().since_us(since) >= REWRITE_US;
    state.store_era.get() > Some(from.era) || state.era_since.get().is_some_and(is_over)
}

/// Returns `true` once this instance is one of those that wait at the store, or `false` when it is
/// time for a single read or for a listing. `failed_at` is the time of the latest read if that failed.
async fn wait_for_duty(state: &State, from: Position, failed_at: Option<Time>) -> bool {
    let start = state.now();
    while !must_list(state, from) {
        let now = state.now();
        let schedule = schedule(state);
        let age = Duration::from_micros(now.since_us(state.started));
        if age >= DISCOVERY_TIME && schedule.is_waiting() {
            return true;
        }
        let due_us = read_at(state, schedule, failed_at, start).since_us(now);
        if due_us == 0 {
            return false;
        }
        let pause = Duration::from_micros(due_us).min(DUTY_CHECK_INTERVAL);
        async_std::task::sleep(pause).await;
    }
    false
}

/// Returns when an instance that does not wait at the store reads it: when its records may be out of
/// date, and some time after a failed call, which was at `start` at the latest.
fn read_at(state: &State, schedule: FollowSchedule, failed_at: Option<Time>, start: Time) -> Time {
    let outdated_at = state.operator_as_of.get().plus_ms(schedule.read_age_ms());
    let retry_at = failed_at.map(|at| at.plus_ms(schedule.retry_ms()));
    let read_at = retry_at.map_or(outdated_at, |at| at.max(outdated_at));
    if state.has_store.get() {
        return read_at;
    }
    let instances = state.members.borrow().live().count() as u64;
    let factor = (instances / RETRY_INSTANCES).max(1);
    read_at.min(start.plus_ms(RETRY_INTERVAL_MS * factor))
}

/// Fetches records from a peer that has them, or from the store if that fails.
async fn fetch_from_peer(
    state: &Rc<State>,
    store: &mut Store,
    ahead: PeerAhead,
    next: Option<Position>,
) -> Result<Progress, PlatformError> {
    let Some(from) = next.filter(|from| !must_list(state, *from)) else {
        return read_records(state, store, None, None).await;
    };
    if !ahead.has_records {
        let as_of = state.operator_as_of.get();
        return Ok(Progress {
            next: from,
            as_of,
            from_store: false,
        });
    }
    let peer = ahead.addr;
    let mut relay = Store::new(peer);
    let relayed = timeout(RELAY_TIMEOUT, relay.read(Topic::Operator, from, 0)).await;
    if let Ok(Ok(page)) = relayed
        && page.next > from
    {
        info!(event = "orders_passed_on", %peer, %from, next = %page.next);
        // A relay may give only a part of what its instance has read.
        let is_whole = page.next >= ahead.next;
        let as_of = if is_whole { ahead.as_of } else { Time(0) };
        let progress = take_page(state, &page, as_of);
        return Ok(Progress {
            from_store: false,
            ..progress
        });
    }
    state.metrics.count("store_calls", 1);
    let asked = state.now();
    let read = timeout(READ_TIMEOUT, store.read(Topic::Operator, from, 0)).await;
    let page = read.map_err(|_| PlatformError::Timeout { limit_ms: 1_000 })??;
    Ok(take_page(state, &page, asked))
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
        Ok(Err(error)) => warn!(event = "config_not_passed_on", %peer, %error,
            delay_ms = control_delay_ms(state)),
        Err(_) => warn!(event = "config_not_passed_on", %peer, error = "timeout",
            delay_ms = control_delay_ms(state)),
    }
}

/// Applies a page of records, after which there were no more as of `as_of`, and keeps it for peers that
/// fetch it here.
fn take_page(state: &State, page: &Page, as_of: Time) -> Progress {
    state.relay.borrow_mut().append(&page.records);
    apply_orders(state, &page.records, Source::Read);
    Progress {
        next: page.next,
        as_of,
        from_store: true,
    }
}

/// Reads new records once this instance may, or lists all of them if `next` is unknown or of an
/// earlier era of the store.
async fn read_records(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<Position>,
    failed_at: Option<Time>,
) -> Result<Progress, PlatformError> {
    let Some(from) = next else {
        return list_records(state, store).await;
    };
    let is_waiting = wait_for_duty(state, from, failed_at).await;
    if must_list(state, from) {
        return list_records(state, store).await;
    }
    let wait_ms = if is_waiting {
        // The read ends when the records may be as old as one whole wait.
        FollowSchedule::WAIT_MS.saturating_sub(operator_age_ms(state))
    } else {
        info!(event = "orders_outdated", age_ms = operator_age_ms(state), %from);
        0
    };
    state.metrics.count("store_calls", 1);
    let asked = state.now();
    let page = store.read(Topic::Operator, from, wait_ms).await?;
    // The store answers at once when there is a record, otherwise after the wait. A response may have
    // been held up after that.
    let as_of = if page.records.is_empty() {
        asked.plus_ms(wait_ms).min(state.now())
    } else {
        asked
    };
    Ok(take_page(state, &page, as_of))
}

/// Lists all records, and the verdicts on rollouts.
async fn list_records(state: &Rc<State>, store: &mut Store) -> Result<Progress, PlatformError> {
    state.metrics.count("store_calls", 1);
    let asked = state.now();
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
    let progress = Progress {
        next: newest.end,
        as_of: asked,
        from_store: true,
    };
    if state.rollouts.borrow().is_empty() {
        return Ok(progress);
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
    Ok(progress)
}
