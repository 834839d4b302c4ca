//! Chooses the target of one send: a few candidates are asked for their load, the best one is taken.

use std::rc::Rc;

use balance::{LatencyEstimate, MeanLoad, Route, Target, Targets};
use model::{ServiceName, TargetId, Time};
use rand::Rng;

use crate::{probe::probe, state::State, version_filter::VersionFilter};

/// Candidates that are asked in a round. With three, the choice comes close to one with full knowledge.
const PROBES_PER_ROUND: usize = 3;
/// Rounds before a request is queued at a busy target or refused.
const MAX_ROUNDS: usize = 2;
/// Times the work time up to which a free target is taken without asking others. With a quarter of the
/// targets slow, all candidates of one round are slow in 1 of 64 rounds.
const GOOD_ENOUGH_FACTOR: f64 = 1.6;
/// Age up to which a load report is taken as current, in microseconds.
const FRESH_REPORT_US: u64 = 6_000;
/// Targets of a service that an instance turns to first. With more, connections to each are used too
/// rarely to be kept.
const PREFERRED: usize = 24;
/// The same when others are looked for, because the first candidates are slow or busy.
const PREFERRED_WIDE: usize = 48;
/// Usable targets in the own zone from which the first choice is made among them only.
const MIN_NEAR: usize = 12;
/// Cost of another zone, in milliseconds: traffic between zones is paid for, and takes 1 ms more.
const CROSS_ZONE_MS: f64 = 6.0;
/// The same for each kilobyte of the response. At the platform's prices, 90 kB from another zone cost about
/// half of what the response earns.
const CROSS_ZONE_MS_PER_KB: f64 = 1.0;
/// Random part of the ranking, so that instances with the same view do not all ask the same targets.
const RANKING_JITTER: f64 = 0.6;

/// What a choice is made for.
#[derive(Debug)]
pub struct Criteria<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Route, whose work time is known.
    pub route: &'a Route,
    /// Whether the new version of a rollout is to be taken.
    pub new_version: bool,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct SelectedTarget {
    /// Target.
    pub id: TargetId,
    /// Address.
    pub addr: std::net::SocketAddr,
    /// Pace by its latest report, in percent.
    pub slowdown_percent: u32,
    /// Age of that report, in microseconds.
    pub report_age_us: u64,
    /// What the request is expected to meet.
    pub estimate: LatencyEstimate,
    /// Whether the target runs the new version of a rollout.
    pub new_version: bool,
}

/// The best target for `criteria`, if there is any.
pub async fn select_target(state: &Rc<State>, criteria: &Criteria<'_>) -> Option<SelectedTarget> {
    let mut asked: Vec<TargetId> = Vec::new();
    let mut best: Option<(f64, SelectedTarget)> = None;
    let processing_ms = processing_ms(state, criteria.route);
    for _ in 0..MAX_ROUNDS {
        let round = candidates(state, criteria, &asked);
        if round.is_empty() {
            break;
        }
        let unsure: Vec<TargetId> = round
            .iter()
            .filter(|id| has_stale_report(state, id))
            .cloned()
            .collect();
        if !unsure.is_empty() {
            probe(state, &unsure).await;
        }
        for id in &round {
            let scored = score(state, criteria, id);
            if let Some((cost, selected)) = scored
                && best.as_ref().is_none_or(|(least, _)| cost < *least)
            {
                best = Some((cost, selected));
            }
        }
        let is_enough = |selected: &SelectedTarget| {
            selected.estimate.slot_free
                && selected.estimate.latency_ms <= processing_ms * GOOD_ENOUGH_FACTOR
        };
        if best
            .as_ref()
            .is_some_and(|(_, selected)| is_enough(selected))
        {
            break;
        }
        asked.extend(round);
    }
    best.map(|(_, selected)| selected)
}

/// Targets worth asking, without those in `asked`.
fn candidates(state: &Rc<State>, criteria: &Criteria<'_>, asked: &[TargetId]) -> Vec<TargetId> {
    let now = state.now();
    let rule = VersionFilter::of(state, criteria.service);
    let instances = state.instances();
    let targets = state.targets.borrow();
    let costs = CostModel::of(state, criteria, &targets);
    let usable: Vec<&Target> = targets
        .of_service(criteria.service)
        .filter(|t| is_eligible(state, t) && rule.allows(t, criteria.new_version))
        .filter(|t| !criteria.tried.contains(&t.entry.id) && !asked.contains(&t.entry.id))
        .collect();
    let open = |t: &&Target| {
        !t.is_cold(now)
            || t.cold_limiter
                .allows(now, &t.entry.id, state.instance_id(), &instances)
    };
    let sound: Vec<&Target> = usable
        .iter()
        .copied()
        .filter(|t| !t.health.is_ejected(now))
        .filter(open)
        .collect();
    // Where all look bad, the fault is more likely here or in front of them.
    let pool = if sound.is_empty() {
        usable.into_iter().filter(open).collect()
    } else {
        sound
    };
    let pool = preferred(state, pool, asked.is_empty());
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
    ranked.truncate(PROBES_PER_ROUND);
    ranked
        .into_iter()
        .map(|(_, t)| t.entry.id.clone())
        .collect()
}

/// The targets that this instance turns to: always the same ones, so that connections to them are kept.
/// At first only those of its own zone, if there are enough.
fn preferred<'a>(state: &State, mut pool: Vec<&'a Target>, is_first: bool) -> Vec<&'a Target> {
    let most = if is_first { PREFERRED } else { PREFERRED_WIDE };
    if pool.len() <= most {
        return pool;
    }
    let is_near = |t: &&Target| t.entry.zone == state.settings.zone;
    if is_first && pool.iter().copied().filter(|t| is_near(t)).count() >= MIN_NEAR {
        pool.retain(is_near);
    }
    let own = state.instance_id().as_str();
    pool.sort_by_cached_key(|t| model::rendezvous(own, t.entry.id.as_str()));
    pool.truncate(most);
    pool
}

/// Whether a target may get requests now.
pub fn is_target_eligible(state: &State, id: &TargetId) -> bool {
    state
        .targets
        .borrow()
        .get(id)
        .is_some_and(|t| is_eligible(state, t))
}

fn is_eligible(state: &State, target: &Target) -> bool {
    !target.entry.draining && !state.zones_out.borrow().contains(&target.entry.zone)
}

fn has_stale_report(state: &State, id: &TargetId) -> bool {
    let now = state.now();
    let targets = state.targets.borrow();
    let load = targets.get(id).and_then(|t| t.load);
    !load.is_some_and(|load| load.is_fresh(now, FRESH_REPORT_US))
}

/// What targets are compared by.
struct CostModel {
    now: Time,
    processing_ms: f64,
    /// Cost of another zone, in milliseconds.
    cross_zone_ms: f64,
    prior: MeanLoad,
}

impl CostModel {
    fn of(state: &State, criteria: &Criteria<'_>, targets: &Targets) -> Self {
        let now = state.now();
        Self {
            now,
            processing_ms: processing_ms(state, criteria.route),
            cross_zone_ms: CROSS_ZONE_MS
                + CROSS_ZONE_MS_PER_KB * state.response_sizes.borrow().mean_kb(criteria.route),
            prior: MeanLoad::of(targets.of_service(criteria.service), now),
        }
    }

    /// Expected time at a target, with what speaks against it, in milliseconds.
    fn cost(&self, state: &State, target: &Target) -> f64 {
        let is_near = target.entry.zone == state.settings.zone;
        let cross_zone_ms = if is_near { 0.0 } else { self.cross_zone_ms };
        // A failure costs about another attempt.
        self.estimate(target).latency_ms * (1.0 + 2.0 * target.health.failure_rate(self.now))
            + cross_zone_ms
    }

    fn estimate(&self, target: &Target) -> LatencyEstimate {
        match target.load {
            Some(load) => {
                load.estimate(self.now, self.processing_ms, target.unreported, &self.prior)
            }
            None => self
                .prior
                .estimate(self.processing_ms, target.in_flight, target.entry.slots),
        }
    }
}

fn score(
    state: &Rc<State>,
    criteria: &Criteria<'_>,
    id: &TargetId,
) -> Option<(f64, SelectedTarget)> {
    let now = state.now();
    let instances = state.instances();
    let targets = state.targets.borrow();
    let target = targets.get(id)?;
    let is_shut = target.is_cold(now)
        && !target
            .cold_limiter
            .allows(now, id, state.instance_id(), &instances);
    if is_shut || !is_eligible(state, target) {
        return None;
    }
    let costs = CostModel::of(state, criteria, &targets);
    let load = target.load;
    let silent = if has_stale_report(state, id) {
        2.0
    } else {
        1.0
    };
    let selected = SelectedTarget {
        id: id.clone(),
        addr: target.entry.addr,
        slowdown_percent: load.map_or(100, |load| load.slowdown_percent),
        report_age_us: load.map_or(u64::MAX, |load| now.since_us(load.reported_at)),
        estimate: costs.estimate(target),
        new_version: VersionFilter::of(state, criteria.service).is_new_version(target),
    };
    Some((costs.cost(state, target) * silent, selected))
}

/// Work time of a route at the usual pace, in milliseconds.
pub fn processing_ms(state: &State, route: &Route) -> f64 {
    state.processing_times.borrow().expected_ms(route)
}

#[cfg(test)]
mod tests;
