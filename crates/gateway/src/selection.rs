//! Selects the target of one attempt: probes a few candidates for their load and takes the one with
//! the lowest cost.

use std::rc::Rc;

use balance::{LatencyEstimate, MeanLoad, Route, Target, Targets};
use model::{ServiceName, TargetId, Time, Version};
use rand::Rng;

mod exclusion;

pub use self::exclusion::Exclusion;
use crate::{
    probe::probe,
    send_limits::{AppliedLimit, SendLimits},
    state::State,
    version_filter::VersionFilter,
};

/// Candidates that are probed in a round. With three, the best one is nearly full in many rounds when
/// two thirds of all slots are busy; with six, the selection is no better than with four.
const CANDIDATES_PER_ROUND: usize = 4;
/// Candidates in a round in a trial stage of a rollout. With more, the targets of the new version are less
/// loaded than they will be, and faults under load do not show.
const TRIAL_CANDIDATES: usize = 3;
/// Rounds of probes before a request is queued at a busy target or refused.
const MAX_ROUNDS: usize = 3;
/// Latency up to which a target with a free slot is selected without another round, as a multiple
/// of the processing time. Below the factor by which requests of a nearly full target slow each other
/// down, since another target mostly has more room.
const GOOD_ENOUGH_FACTOR: f64 = 1.4;
/// Age up to which a load report is used without a probe, in microseconds.
const FRESH_REPORT_US: u64 = 6_000;
/// Number of targets of a service that an instance considers in the first round. With more, the
/// connections to each target are used too rarely to stay open.
const MAX_PREFERRED: usize = 16;
/// Number of targets of a service that an instance considers in later rounds, when the first
/// candidates are slow or busy.
const MAX_PREFERRED_LATER: usize = 48;
/// Number of targets in the instance's own zone from which all rounds but the last consider only those.
const MIN_ZONE_TARGETS: usize = 12;
/// The same number for routes with large responses, which cost more than a wait when they cross zones.
const MIN_ZONE_TARGETS_LARGE: usize = 4;
/// Mean size from which the responses of a route are large, in kilobytes.
const LARGE_RESPONSE_KB: f64 = 32.0;
/// Cost of a target in another zone, in milliseconds. Traffic between zones costs money and takes 1
/// ms longer.
const CROSS_ZONE_MS: f64 = 6.0;
/// Additional cost of a target in another zone for each kilobyte of the response, in milliseconds.
/// At the platform's prices, 90 kB from another zone cost about half of what the response earns.
const CROSS_ZONE_MS_PER_KB: f64 = 1.0;
/// Largest random increase of a cost, as a fraction of it, so that instances with the same data do
/// not all probe the same targets.
const RANKING_JITTER: f64 = 0.6;

/// Criteria for the selection of a target.
#[derive(Debug)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Route of the request, for its usual processing time and response size.
    pub route: &'a Route,
    /// Whether the request is assigned to the new version of a rollout.
    pub new_version: bool,
    /// Number of priorities of the service that are more urgent.
    pub urgency_rank: usize,
    /// Whether the request may go to targets that state a limit.
    pub may_be_limited: bool,
    /// Targets to exclude, because the request was sent to them before.
    pub tried: &'a [TargetId],
}

/// A selected target, with its data at the time of the selection.
#[derive(Clone, Debug)]
pub struct SelectedTarget {
    /// Identifier of the target.
    pub id: TargetId,
    /// Start of its process, as in its entry.
    pub born: u64,
    /// Address of the target.
    pub addr: std::net::SocketAddr,
    /// Slowdown in its latest load report, in percent of the usual processing time.
    pub slowdown_percent: u32,
    /// Age of the latest load report, in microseconds.
    pub report_age_us: u64,
    /// Expected latency of the request.
    pub estimate: LatencyEstimate,
    /// Version that the target runs.
    pub version: Version,
    /// Limit on requests that the target states, if there is one.
    pub limit: Option<AppliedLimit>,
}

/// Selects the target with the lowest cost for `criteria`, if there is any. In a trial stage of a rollout,
/// requests to the new version go to the first target by rank that is good enough.
pub async fn select_target(state: &Rc<State>, criteria: &Criteria<'_>) -> Option<SelectedTarget> {
    let mut considered: Vec<TargetId> = Vec::new();
    let mut best: Option<(f64, SelectedTarget)> = None;
    let processing_ms = processing_ms(state, criteria.route);
    let is_trial = trial_key(state, criteria).is_some();
    let is_good_enough = |selected: &SelectedTarget| {
        selected.estimate.slot_free
            && selected.estimate.latency_ms <= processing_ms * GOOD_ENOUGH_FACTOR
    };
    for number in 0..MAX_ROUNDS {
        let round = candidates(state, criteria, &considered, number);
        if round.is_empty() {
            break;
        }
        let to_probe: Vec<TargetId> = round
            .iter()
            .filter(|id| has_stale_report(state, id))
            .cloned()
            .collect();
        if !to_probe.is_empty() {
            probe(state, &to_probe).await;
        }
        let limits = SendLimits::of(state, criteria.service);
        for id in &round {
            let scored = score(state, criteria, &limits, id);
            if is_trial
                && let Some((_, selected)) = &scored
                && is_good_enough(selected)
            {
                return scored.map(|(_, selected)| selected);
            }
            if let Some((cost, selected)) = scored
                && best.as_ref().is_none_or(|(lowest, _)| cost < *lowest)
            {
                best = Some((cost, selected));
            }
        }
        if best
            .as_ref()
            .is_some_and(|(_, selected)| is_good_enough(selected))
        {
            break;
        }
        considered.extend(round);
    }
    best.map(|(_, selected)| selected)
}

/// Returns the targets to consider in the round with this number, without those in `considered`.
fn candidates(
    state: &Rc<State>,
    criteria: &Criteria<'_>,
    considered: &[TargetId],
    number: usize,
) -> Vec<TargetId> {
    let now = state.now();
    let version_filter = VersionFilter::of(state, criteria.service);
    let limits = SendLimits::of(state, criteria.service);
    let targets = state.targets.borrow();
    let costs = CostModel::of(state, criteria, &targets);
    let eligible: Vec<&Target> = targets
        .of_service(criteria.service)
        .filter(|t| Exclusion::of(state, now, criteria, &version_filter, t).is_none())
        .filter(|t| !considered.contains(&t.entry.id))
        .collect();
    let is_held =
        |t: &&Target| t.limit.rate(now).is_some() && !limits.allow(t, criteria.urgency_rank);
    if eligible.iter().any(is_held) {
        state.metrics.count("sends_held", 1);
    }
    let pool = usable(state, criteria, &limits, eligible);
    if let Some(key) = trial_key(state, criteria) {
        return ranked_for_trial(pool, key);
    }
    let pool = preferred(state, pool, number, min_zone_targets(state, criteria.route));
    let mut rng = rand::rng();
    let mut ranked: Vec<(f64, &Target)> = pool
        .into_iter()
        .map(|t| {
            (
                costs.cost(state, t) * (1.0 + RANKING_JITTER * rng.random::<f64>()),
                t,
            )
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.truncate(CANDIDATES_PER_ROUND);
    ranked
        .into_iter()
        .map(|(_, t)| t.entry.id.clone())
        .collect()
}

/// Returns those of the `eligible` targets that are not ejected and whose limits allow a request of this
/// instance now.
pub fn usable<'a>(
    state: &State,
    criteria: &Criteria<'_>,
    limits: &SendLimits,
    eligible: Vec<&'a Target>,
) -> Vec<&'a Target> {
    let now = state.now();
    let within_limits = |t: &&Target| limits.allow(t, criteria.urgency_rank);
    let healthy: Vec<&Target> = eligible
        .iter()
        .copied()
        .filter(|t| !t.health.is_ejected(now))
        .filter(within_limits)
        .collect();
    // If all targets are ejected, the fault is more likely at this instance or on the network to
    // them.
    if healthy.is_empty() {
        eligible.into_iter().filter(within_limits).collect()
    } else {
        healthy
    }
}

/// Returns the key by which the targets are ranked if the request is assigned to the new version in a
/// trial stage of a rollout.
pub fn trial_key(state: &State, criteria: &Criteria<'_>) -> Option<u64> {
    if !criteria.new_version {
        return None;
    }
    let rollouts = state.rollouts.borrow();
    rollouts.get(criteria.service)?.trial_key()
}

/// Returns the first targets by rank in a trial stage. The rank is the same at all instances, so that few
/// targets take all requests of the trial and are under load as they will be when they take all.
pub fn ranked_for_trial(mut pool: Vec<&Target>, key: u64) -> Vec<TargetId> {
    let key = key.to_string();
    pool.sort_by_cached_key(|t| model::rendezvous(&key, t.entry.id.as_str()));
    pool.truncate(TRIAL_CANDIDATES);
    pool.into_iter().map(|t| t.entry.id.clone()).collect()
}

/// Returns the targets that this instance prefers in the round with this number: always the same ones,
/// so that their connections stay open. Before the last round, only those of its own zone if there are
/// at least `min_zone`.
pub fn preferred<'a>(
    state: &State,
    mut pool: Vec<&'a Target>,
    number: usize,
    min_zone: usize,
) -> Vec<&'a Target> {
    let limit = if number == 0 {
        MAX_PREFERRED
    } else {
        MAX_PREFERRED_LATER
    };
    let is_same_zone = |t: &&Target| t.entry.zone == state.settings.zone;
    let is_last = number + 1 == MAX_ROUNDS;
    if pool.len() <= limit && (is_last || min_zone == MIN_ZONE_TARGETS) {
        return pool;
    }
    if !is_last && pool.iter().copied().filter(is_same_zone).count() >= min_zone {
        pool.retain(is_same_zone);
    }
    let own = state.instance_id().as_str();
    pool.sort_by_cached_key(|t| model::rendezvous(own, t.entry.id.as_str()));
    pool.truncate(limit);
    pool
}

/// Returns the number of targets in the own zone from which requests of `route` first stay there.
pub fn min_zone_targets(state: &State, route: &Route) -> usize {
    if state.response_sizes.borrow().mean_kb(route) >= LARGE_RESPONSE_KB {
        MIN_ZONE_TARGETS_LARGE
    } else {
        MIN_ZONE_TARGETS
    }
}

/// Whether a target is known, not leaving, in a zone that is not taken out, and takes requests.
pub fn is_target_eligible(state: &State, id: &TargetId) -> bool {
    state
        .targets
        .borrow()
        .get(id)
        .is_some_and(|t| is_eligible(state, t) && t.closed_ms(state.now()).is_none())
}

/// Whether a target is not leaving and in a zone that is not taken out.
pub fn is_eligible(state: &State, target: &Target) -> bool {
    leaving_or_out(state, target).is_none()
}

/// Returns why a target may not be used at all: it is leaving, or its zone is taken out.
pub fn leaving_or_out(state: &State, target: &Target) -> Option<Exclusion> {
    if target.is_leaving() {
        return Some(Exclusion::Leaving);
    }
    let is_out = state.zones_out.borrow().contains(&target.entry.zone);
    is_out.then_some(Exclusion::ZoneOut)
}

/// Whether the latest load report of a target is missing or too old to be used without a probe.
pub fn has_stale_report(state: &State, id: &TargetId) -> bool {
    let now = state.now();
    let targets = state.targets.borrow();
    let load = targets.get(id).and_then(|t| t.load);
    !load.is_some_and(|load| load.is_fresh(now, FRESH_REPORT_US))
}

/// Computes the costs by which targets are compared.
struct CostModel {
    now: Time,
    processing_ms: f64,
    /// Cost of a target in another zone, in milliseconds.
    cross_zone_ms: f64,
    mean_load: MeanLoad,
}

impl CostModel {
    fn of(state: &State, criteria: &Criteria<'_>, targets: &Targets) -> Self {
        let now = state.now();
        Self {
            now,
            processing_ms: processing_ms(state, criteria.route),
            cross_zone_ms: CROSS_ZONE_MS
                + CROSS_ZONE_MS_PER_KB * state.response_sizes.borrow().mean_kb(criteria.route),
            mean_load: MeanLoad::of(targets.of_service(criteria.service), now),
        }
    }

    /// Returns the expected latency at a target in milliseconds, increased for recent failures and
    /// for another zone.
    fn cost(&self, state: &State, target: &Target) -> f64 {
        let is_same_zone = target.entry.zone == state.settings.zone;
        let cross_zone_ms = if is_same_zone {
            0.0
        } else {
            self.cross_zone_ms
        };
        // A failed attempt costs about as much as another attempt.
        self.estimate(target).latency_ms * (1.0 + 2.0 * target.health.failure_rate(self.now))
            + cross_zone_ms
    }

    fn estimate(&self, target: &Target) -> LatencyEstimate {
        match target.load {
            Some(load) => load.estimate(
                self.now,
                self.processing_ms,
                target.unreported,
                &self.mean_load,
            ),
            None => {
                self.mean_load
                    .estimate(self.processing_ms, target.in_flight, target.entry.slots)
            }
        }
    }
}

/// Returns a target with its cost; `None` if it may not get the request any more.
pub fn score(
    state: &State,
    criteria: &Criteria<'_>,
    limits: &SendLimits,
    id: &TargetId,
) -> Option<(f64, SelectedTarget)> {
    let now = state.now();
    let targets = state.targets.borrow();
    let target = targets.get(id)?;
    // The probe may have shown that the target states a limit.
    let is_limited = target.limit.rate(now).is_some();
    if !limits.allow(target, criteria.urgency_rank) || !is_eligible(state, target) {
        return None;
    }
    // The probe may have shown that the target is closed, too.
    if target.closed_ms(now).is_some() {
        return None;
    }
    if is_limited && !criteria.may_be_limited {
        return None;
    }
    let costs = CostModel::of(state, criteria, &targets);
    let load = target.load;
    let staleness_factor = if has_stale_report(state, id) {
        2.0
    } else {
        1.0
    };
    let selected = SelectedTarget {
        id: id.clone(),
        born: target.entry.born,
        addr: target.entry.addr,
        slowdown_percent: load.map_or(100, |load| load.slowdown_percent),
        report_age_us: load.map_or(u64::MAX, |load| now.since_us(load.reported_at)),
        estimate: costs.estimate(target),
        version: target.entry.version.clone(),
        limit: limits.applied(target),
    };
    Some((costs.cost(state, target) * staleness_factor, selected))
}

/// Returns the processing time of a route at a target without slowdown, in milliseconds.
pub fn processing_ms(state: &State, route: &Route) -> f64 {
    state.processing_times.borrow().expected_ms(route)
}

#[cfg(test)]
mod tests;
