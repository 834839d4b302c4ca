//! Return order of refused requests at this instance: keeps [`ServiceReturns`] of each service up to date.
//! Nothing is kept without the settings `[returns]`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use balance::{
    Ask, FirstDeadlines, GatewayConfig, Kind, MeanLoad, PeerClaims, Promise, Room, Route,
    ServiceReturns, Targets,
};
use model::{ServiceName, Time};
use rand::Rng;

use crate::{
    admission::ReturnsAnswer,
    selection::{is_eligible, processing_ms},
    state::State,
};

/// Time for which the room of a service is taken to stay the same, in microseconds. Reading it takes time
/// linear in the targets.
const ROOM_AGE_US: u64 = 20_000;

/// Claims by service.
pub type ServiceClaims = Vec<(ServiceName, Vec<u32>)>;

/// Return order of all services.
#[derive(Debug, Default)]
pub struct Returns {
    services: BTreeMap<ServiceName, ServiceReturns>,
    rooms: BTreeMap<ServiceName, (Time, Room, f64)>,
    first_deadlines: FirstDeadlines,
    peer_claims: PeerClaims,
    /// Version of the configuration whose services and routes are kept.
    config_version: u64,
}

impl Returns {
    /// Forgets services and routes that are not in `config`.
    fn prune(&mut self, config: &GatewayConfig) {
        if self.config_version == config.version {
            return;
        }
        self.config_version = config.version;
        let is_service = |name: &ServiceName| config.service(name).is_some();
        self.services.retain(|name, _| is_service(name));
        self.rooms.retain(|name, _| is_service(name));
        let routes: BTreeSet<&str> = config.routes().map(|route| &*route.name).collect();
        self.first_deadlines.retain(|name| routes.contains(name));
    }
}

/// Returns what the return order must know of a request that has arrived; `None` without `[returns]`.
pub fn arrive(
    state: &State,
    route: &Arc<Route>,
    service: &ServiceName,
    rank: usize,
    left_ms: u64,
) -> Option<Ask> {
    state.settings.returns.as_ref()?;
    let now = state.now();
    let mut returns = state.returns.borrow_mut();
    let first_deadlines = &mut returns.first_deadlines;
    let waited_ms = first_deadlines.record(&route.name, left_ms, now);
    drop(returns);
    let ask = ask(state, route, rank, left_ms, waited_ms)?;
    with_service(state, service, |of_service| of_service.record_arrival(&ask));
    if ask.is_return && ask.kind.can_wait {
        state.metrics.count("returns_arrived", 1);
    }
    Some(ask)
}

/// Returns what the return order must know of a request whose caller has waited `waited_ms`.
fn ask(state: &State, route: &Route, rank: usize, left_ms: u64, waited_ms: u64) -> Option<Ask> {
    let min_objective_ms = state.settings.returns.as_ref()?.min_objective_ms;
    let work_ms = processing_ms(state, route);
    Some(Ask {
        kind: Kind::of(route, rank, work_ms, min_objective_ms),
        work_ms,
        objective_ms: route.objective_ms as f64,
        waited_ms: waited_ms as f64,
        left_ms: left_ms as f64,
        is_return: waited_ms > 0,
    })
}

/// Returns what the return order says to a request that has arrived.
pub fn room_for(state: &State, service: &ServiceName, ask: &Ask) -> ReturnsAnswer {
    with_service(state, service, |of_service| answer(of_service, ask))
}

/// Returns what the return order would say to a request that came for the first time now, without
/// counting it; `None` without `[returns]`.
pub fn preview(
    state: &State,
    route: &Route,
    service: &ServiceName,
    rank: usize,
) -> Option<ReturnsAnswer> {
    let ask = ask(state, route, rank, route.timeout_ms, 0)?;
    let known = state.returns.borrow().services.get(service).cloned();
    let mut of_service = known.unwrap_or_default();
    let room = room(state, &state.targets.borrow(), service);
    of_service.update(state.now(), room, share(state, service));
    of_service.record_arrival(&ask);
    Some(answer(&of_service, &ask))
}

fn answer(of_service: &ServiceReturns, ask: &Ask) -> ReturnsAnswer {
    ReturnsAnswer {
        ask: *ask,
        has_room: of_service.has_room(ask),
        is_expected: of_service.expects(ask),
    }
}

/// Counts a request that is sent to a target for the first time.
pub fn record_admission(state: &State, service: &ServiceName, ask: &Ask) {
    with_service(state, service, |of_service| {
        of_service.record_admission(ask);
    });
    if ask.is_return && ask.kind.can_wait {
        state.metrics.count("returns_met", 1);
    }
}

/// Claims room for the caller of a refused request that has taken `took_ms` here; `None` if there is none
/// that it can use.
pub fn promise(state: &State, service: &ServiceName, ask: &Ask, took_ms: f64) -> Option<Promise> {
    let now = state.now();
    let ask = Ask {
        waited_ms: ask.waited_ms + took_ms,
        left_ms: ask.left_ms - took_ms,
        ..*ask
    };
    let draw = rand::rng().random();
    let promise = with_service(state, service, |of_service| {
        of_service.promise(now, &ask, draw)
    });
    count_promise(state, promise);
    promise
}

/// Counts a promise, or that none could be made. The sums divided by the number of promises are the means.
fn count_promise(state: &State, promise: Option<Promise>) {
    let Some(promise) = promise else {
        state.metrics.count("returns_without_room", 1);
        return;
    };
    state.metrics.count("returns_promised", 1);
    let retry_ms = u64::from(promise.retry_ms);
    state.metrics.count("returns_promised_ms", retry_ms);
    state.metrics.count("returns_room_ms", promise.room_ms);
    state.metrics.count("returns_claims_ms", promise.claims_ms);
}

/// Returns the claims of this instance for a report.
pub fn report_claims(state: &State) -> ServiceClaims {
    if state.settings.returns.is_none() {
        return Vec::new();
    }
    let now = state.now();
    let mut returns = state.returns.borrow_mut();
    if let Some(config) = state.config() {
        returns.prune(&config);
    }
    let services = returns.services.iter_mut();
    let claims = services.map(|(name, of_service)| (name.clone(), of_service.report(now)));
    claims.filter(|(_, counts)| !counts.is_empty()).collect()
}

/// Records the claims that an instance has reported to this one as a collector.
pub fn collect_claims(state: &State, from: &model::InstanceId, claims: &ServiceClaims) {
    if state.settings.returns.is_none() {
        return;
    }
    let mut returns = state.returns.borrow_mut();
    let peer_claims = &mut returns.peer_claims;
    peer_claims.record_report(from.clone(), claims.clone(), state.now());
}

/// Returns the claims of all instances for a digest, and applies them here.
pub fn digest_claims(state: &State) -> ServiceClaims {
    if state.settings.returns.is_none() {
        return Vec::new();
    }
    let now = state.now();
    let sums = state.returns.borrow_mut().peer_claims.total(now);
    apply_claims(state, &sums, now);
    sums
}

/// Applies the claims of all instances, which a collector summed up at `made`.
pub fn apply_claims(state: &State, sums: &ServiceClaims, made: Time) {
    if state.settings.returns.is_none() {
        return;
    }
    let Some(config) = state.config() else { return };
    let mut returns = state.returns.borrow_mut();
    for (service, counts) in sums {
        if config.service(service).is_some() {
            let of_service = returns.services.entry(service.clone()).or_default();
            of_service.record_sums(counts, made);
        }
    }
}

/// Runs `action` on the return order of `service`, brought up to date.
fn with_service<T>(
    state: &State,
    service: &ServiceName,
    action: impl FnOnce(&mut ServiceReturns) -> T,
) -> T {
    let now = state.now();
    let mut returns = state.returns.borrow_mut();
    let returns = &mut *returns;
    let known = returns.rooms.get(service).copied();
    let (_, room, share) = known
        .filter(|(at, ..)| now.since_us(*at) < ROOM_AGE_US)
        .unwrap_or_else(|| {
            let read = (
                now,
                room(state, &state.targets.borrow(), service),
                share(state, service),
            );
            returns.rooms.insert(service.clone(), read);
            read
        });
    let of_service = returns.services.entry(service.clone()).or_default();
    of_service.update(now, room, share);
    action(of_service)
}

/// Returns the room of the targets of a service that take requests.
fn room(state: &State, targets: &Targets, service: &ServiceName) -> Room {
    let now = state.now();
    let usable = || {
        let all = targets.of_service(service);
        all.filter(|t| is_eligible(state, t) && t.closed_ms(now).is_none())
            .filter(|t| !t.health.is_ejected(now))
    };
    let slots = usable().map(|t| t.entry.slots).fold(0, u32::saturating_add);
    Room::of(slots, &MeanLoad::of(usable(), now))
}

/// Returns the part of the requests of a service that this instance has: by the latest sums, or an equal
/// one.
fn share(state: &State, service: &ServiceName) -> f64 {
    let now = state.now();
    let (others, covered) = state.fleet_usage.borrow().of_others(service, now);
    let mut budgets = state.budgets.borrow_mut();
    let own = budgets
        .get_mut(service)
        .map_or(0, |budget| budget.usage(now).requests);
    drop(budgets);
    let all = f64::from(own) + f64::from(others.requests);
    if covered > 1 && all > 0.0 {
        f64::from(own) / all
    } else {
        1.0 / (state.members.borrow().live().count() + 1) as f64
    }
}

#[cfg(test)]
mod tests;
