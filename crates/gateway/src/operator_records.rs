//! Follows the records of the operator: configurations, orders of rollouts, zones taken out of
//! service. The collectors wait for new records at the store; the others learn of them by digests and
//! fetch them from the collectors. Whoever does not learn in time that there are no newer ones reads
//! the store.

use std::{rc::Rc, time::Duration};

use async_std::{channel::Receiver, net::UdpSocket, prelude::FutureExt};
use balance::{COLLECT, FollowSchedule, Position};
use model::Time;
use platform::{Change, Listing, Page, PlatformError, Store, Topic};
use tracing::{info, warn};

use crate::{
    backoff::Backoff,
    listing_log::log_unreadable,
    operator_age::{operator_age_ms, record_operator_as_of},
    orders_apply::{Source, apply_orders, apply_verdict},
    peer_records::ask_all,
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
/// Up to where this instance knows the operator's records.
#[derive(Debug)]
struct Progress {
    /// Position of the next record.
    next: Position,
    /// Time as of which there was none.
    as_of: Time,
    /// Whether the store has answered.
    from_store: bool,
    /// Error of the store, if others had to be asked.
    store_error: Option<PlatformError>,
}

/// Applies the records of the operator until the process ends. `peers_ahead` yields a value when a peer has said
/// that it knows more than this instance.
pub async fn follow_operator_records(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    peers_ahead: Receiver<()>,
) {
    let mut follower = Follower {
        store: Store::new(state.settings.store),
        next: state.joined_at.get(),
        failed_at: None,
        retry_at: Time(0),
        backoff: Backoff::default(),
        state: Rc::clone(&state),
        socket,
    };
    loop {
        let result = match follower.next_event(&peers_ahead).await {
            Event::Read(result) => result,
            Event::Closed => return,
            Event::PeerAhead => {
                // The pending read may hang on a dead connection.
                follower.store = Store::new(state.settings.store);
                fetch_from_peers(&state, &mut follower.store, follower.next).await
            }
        };
        match result {
            Ok(progress) => follower.record_progress(progress).await,
            Err(PlatformError::NotRetained { first }) => {
                info!(event = "orders_dropped", first, from = %state.operator_next.get());
                follower.next = None;
            }
            Err(PlatformError::OtherEra { era, expected }) if era > expected => {
                record_era(&state, era, "orders");
                follower.next = None;
            }
            Err(error) => {
                follower.record_failure(&error).await;
                let pause = follower.backoff.pause();
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                follower.retry_at = state.now().plus_us(pause_us);
            }
        }
    }
}

/// Where reading the operator's records stands.
struct Follower {
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    store: Store,
    /// Position of the next record; `None` if all have to be listed.
    next: Option<Position>,
    /// Time of the latest call to the store if that failed.
    failed_at: Option<Time>,
    /// Time before which the store is not read.
    retry_at: Time,
    backoff: Backoff,
}

impl Follower {
    /// Reads records when it is time to, unless a peer knows more before. Peers are heard during a pause.
    async fn next_event(&mut self, peers_ahead: &Receiver<()>) -> Event {
        let (state, next, failed_at) = (&self.state, self.next, self.failed_at);
        let pause = Duration::from_micros(self.retry_at.since_us(state.now()));
        let store = &mut self.store;
        let read = async {
            async_std::task::sleep(pause).await;
            Event::Read(read_records(state, store, next, failed_at).await)
        };
        let next_peer = async {
            loop {
                if peers_ahead.recv().await.is_err() {
                    return Event::Closed;
                }
                // What the peer has said may have been fetched since.
                if is_behind(state, next) {
                    return Event::PeerAhead;
                }
            }
        };
        read.race(next_peer).await
    }

    async fn record_progress(&mut self, progress: Progress) {
        let state = Rc::clone(&self.state);
        if progress.from_store {
            if self.failed_at.take().is_some() {
                info!(event = "store_regained", reader = "orders");
            }
            self.backoff.reset();
            state.has_store.set(true);
        }
        let has_new_records = self.next != Some(progress.next);
        self.next = Some(progress.next);
        state.operator_next.set(progress.next);
        record_operator_as_of(&state, progress.next, progress.as_of);
        if has_new_records && schedule(&state).is_waiting() {
            state.request_digest();
        }
        if let Some(error) = progress.store_error {
            self.record_failure(&error).await;
        }
    }

    /// Records that a call to the store has failed.
    async fn record_failure(&mut self, error: &PlatformError) {
        let state = &self.state;
        record_failed_era(state, error, "orders");
        if self.failed_at.is_none() {
            let age_ms = operator_age_ms(state);
            let delay_ms = control_delay_ms(state);
            warn!(event = "store_lost", reader = "orders", %error, age_ms, delay_ms);
        }
        self.failed_at = Some(state.now());
        if state.has_store.replace(false) {
            // The others take over the duty once they know.
            send_report(state, &self.socket).await;
        }
    }
}

/// Event that ends a wait for records.
enum Event {
    Read(Result<Progress, PlatformError>),
    PeerAhead,
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

/// Whether a peer knows more than this instance. If `next` is unknown, only a listing helps.
fn is_behind(state: &State, next: Option<Position>) -> bool {
    let peers = state.ahead_peers.borrow();
    next.is_some_and(|from| {
        let ahead = peers.to_ask(from, state.config_version(), state.now());
        !ahead.is_empty()
    })
}

/// Fetches records from the peers that have them, or from the store.
async fn fetch_from_peers(
    state: &Rc<State>,
    store: &mut Store,
    next: Option<Position>,
) -> Result<Progress, PlatformError> {
    let Some(from) = next.filter(|from| !must_list(state, *from)) else {
        return read_records(state, store, None, None).await;
    };
    ask_others(state, from).await
}

/// Asks peers and the store for the records from `from` on, and applies them.
async fn ask_others(state: &State, from: Position) -> Result<Progress, PlatformError> {
    // Otherwise the records would be due to be read again at once.
    let current_since = state.now().minus_ms(schedule(state).read_age_ms());
    let found = ask_all(state, from, current_since).await?;
    if found.is_listing {
        apply_orders(state, &found.records, Source::Listing);
    } else {
        state.relay.borrow_mut().append(&found.records);
        apply_orders(state, &found.records, Source::Read);
    }
    apply_orders(state, found.config.as_slice(), Source::Read);
    Ok(Progress {
        next: found.next,
        as_of: found.as_of,
        from_store: found.peer.is_none(),
        store_error: found.store_error,
    })
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
        store_error: None,
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
    if !is_waiting {
        info!(event = "orders_outdated", age_ms = operator_age_ms(state), %from);
        return ask_others(state, from).await;
    }
    // The read ends when the records may be as old as one whole wait.
    let wait_ms = FollowSchedule::WAIT_MS.saturating_sub(operator_age_ms(state));
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
        store_error: None,
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
