//! Chooses the target of one send: a few candidates are asked for their load, the best one is taken.

use std::rc::Rc;

use balance::{LatencyEstimate, MeanLoad, Route, Target, Targets};
use model::{ServiceName, TargetId, Time};
use rand::Rng;

use crate::{probe::probe, state::State, version_rule::VersionRule};

/// Candidates that are asked in a round. With three, the choice comes close to one with full knowledge.
const ASKED: usize = 3;
/// Rounds before a request is queued at a busy target or refused.
const ROUNDS: usize = 2;
/// Times the work time up to which a free target is taken without asking others. With a quarter of the
/// targets slow, all candidates of one round are slow in 1 of 64 rounds.
const GOOD_FACTOR: f64 = 1.6;
/// Age up to which a load report is taken as current, in microseconds.
const FRESH_US: u64 = 6_000;
/// Targets of a service that an instance turns to first. With more, connections to each are used too
/// rarely to be kept.
const USUAL: usize = 24;
/// The same when others are looked for, because the first candidates are slow or busy.
const USUAL_MORE: usize = 48;
/// Usable targets in the own zone from which the first choice is made among them only.
const ENOUGH_NEAR: usize = 12;
/// Cost of another zone, in milliseconds: traffic between zones is paid for, and takes 1 ms more.
const FAR_MS: f64 = 6.0;
/// The same for each kilobyte of the response. At the platform's prices, 90 kB from another zone cost about
/// half of what the response earns.
const FAR_MS_PER_KB: f64 = 1.0;
/// Random part of the ranking, so that instances with the same view do not all ask the same targets.
const JITTER: f64 = 0.6;

/// What a choice is made for.
#[derive(Debug)]
pub struct Wish<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Route, whose work time is known.
    pub route: &'a Route,
    /// Whether the new version of a rollout is to be taken.
    pub is_new: bool,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Target.
    pub id: TargetId,
    /// Address.
    pub addr: std::net::SocketAddr,
    /// Pace by its latest report, in percent.
    pub pace: u32,
    /// Age of that report, in microseconds.
    pub age_us: u64,
    /// What the request is expected to meet.
    pub outlook: LatencyEstimate,
    /// Whether the target runs the new version of a rollout.
    pub is_new: bool,
}

/// The best target for `wish`, if there is any.
pub async fn choose(state: &Rc<State>, wish: &Wish<'_>) -> Option<Pick> {
    let mut asked: Vec<TargetId> = Vec::new();
    let mut best: Option<(f64, Pick)> = None;
    let work_ms = work_ms(state, wish.route);
    for _ in 0..ROUNDS {
        let round = shortlist(state, wish, &asked);
        if round.is_empty() {
            break;
        }
        let unsure: Vec<TargetId> = round
            .iter()
            .filter(|id| is_stale(state, id))
            .cloned()
            .collect();
        if !unsure.is_empty() {
            probe(state, &unsure).await;
        }
        for id in &round {
            let scored = score(state, wish, id);
            if let Some((cost, pick)) = scored
                && best.as_ref().is_none_or(|(least, _)| cost < *least)
            {
                best = Some((cost, pick));
            }
        }
        let is_enough = |pick: &Pick| {
            pick.outlook.slot_free && pick.outlook.latency_ms <= work_ms * GOOD_FACTOR
        };
        if best.as_ref().is_some_and(|(_, pick)| is_enough(pick)) {
            break;
        }
        asked.extend(round);
    }
    best.map(|(_, pick)| pick)
}

/// Targets worth asking, without those in `asked`.
fn shortlist(state: &Rc<State>, wish: &Wish<'_>, asked: &[TargetId]) -> Vec<TargetId> {
    let now = state.now();
    let rule = VersionRule::of(state, wish.service);
    let instances = state.instances();
    let targets = state.targets.borrow();
    let terms = Terms::of(state, wish, &targets);
    let usable: Vec<&Target> = targets
        .of_service(wish.service)
        .filter(|t| is_usable(state, t) && rule.allows(t, wish.is_new))
        .filter(|t| !wish.tried.contains(&t.entry.id) && !asked.contains(&t.entry.id))
        .collect();
    let open = |t: &&Target| {
        !t.is_cold(now)
            || t.cold_limiter
                .allows(now, &t.entry.id, state.own(), &instances)
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
    let pool = usual(state, pool, asked.is_empty());
    let mut rng = rand::rng();
    let mut ranked: Vec<(f64, &Target)> = pool
        .into_iter()
        .map(|t| {
            (
                terms.cost(state, t) * (1.0 + JITTER * rng.random::<f64>()),
                t,
            )
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.truncate(ASKED);
    ranked
        .into_iter()
        .map(|(_, t)| t.entry.id.clone())
        .collect()
}

/// The targets that this instance turns to: always the same ones, so that connections to them are kept.
/// At first only those of its own zone, if there are enough.
fn usual<'a>(state: &State, mut pool: Vec<&'a Target>, is_first: bool) -> Vec<&'a Target> {
    let most = if is_first { USUAL } else { USUAL_MORE };
    if pool.len() <= most {
        return pool;
    }
    let is_near = |t: &&Target| t.entry.zone == state.settings.zone;
    if is_first && pool.iter().copied().filter(|t| is_near(t)).count() >= ENOUGH_NEAR {
        pool.retain(is_near);
    }
    let own = state.own().as_str();
    pool.sort_by_cached_key(|t| model::rendezvous(own, t.entry.id.as_str()));
    pool.truncate(most);
    pool
}

/// Whether a target may get requests now.
pub fn may_send(state: &State, id: &TargetId) -> bool {
    state
        .targets
        .borrow()
        .get(id)
        .is_some_and(|t| is_usable(state, t))
}

fn is_usable(state: &State, target: &Target) -> bool {
    !target.entry.draining && !state.zones_out.borrow().contains(&target.entry.zone)
}

fn is_stale(state: &State, id: &TargetId) -> bool {
    let now = state.now();
    let targets = state.targets.borrow();
    let load = targets.get(id).and_then(|t| t.load);
    !load.is_some_and(|load| load.is_fresh(now, FRESH_US))
}

/// What targets are compared by.
struct Terms {
    now: Time,
    work_ms: f64,
    /// Cost of another zone, in milliseconds.
    far_ms: f64,
    prior: MeanLoad,
}

impl Terms {
    fn of(state: &State, wish: &Wish<'_>, targets: &Targets) -> Self {
        let now = state.now();
        Self {
            now,
            work_ms: work_ms(state, wish.route),
            far_ms: FAR_MS + FAR_MS_PER_KB * state.sizes.borrow().mean_kb(wish.route),
            prior: MeanLoad::of(targets.of_service(wish.service), now),
        }
    }

    /// Expected time at a target, with what speaks against it, in milliseconds.
    fn cost(&self, state: &State, target: &Target) -> f64 {
        let is_near = target.entry.zone == state.settings.zone;
        let far_ms = if is_near { 0.0 } else { self.far_ms };
        // A failure costs about another attempt.
        self.outlook(target).latency_ms * (1.0 + 2.0 * target.health.failure_rate(self.now))
            + far_ms
    }

    fn outlook(&self, target: &Target) -> LatencyEstimate {
        match target.load {
            Some(load) => load.estimate(self.now, self.work_ms, target.unreported, &self.prior),
            None => self
                .prior
                .estimate(self.work_ms, target.in_flight, target.entry.slots),
        }
    }
}

fn score(state: &Rc<State>, wish: &Wish<'_>, id: &TargetId) -> Option<(f64, Pick)> {
    let now = state.now();
    let instances = state.instances();
    let targets = state.targets.borrow();
    let target = targets.get(id)?;
    let is_shut =
        target.is_cold(now) && !target.cold_limiter.allows(now, id, state.own(), &instances);
    if is_shut || !is_usable(state, target) {
        return None;
    }
    let terms = Terms::of(state, wish, &targets);
    let load = target.load;
    let silent = if is_stale(state, id) { 2.0 } else { 1.0 };
    let pick = Pick {
        id: id.clone(),
        addr: target.entry.addr,
        pace: load.map_or(100, |load| load.slowdown_percent),
        age_us: load.map_or(u64::MAX, |load| now.since_us(load.reported_at)),
        outlook: terms.outlook(target),
        is_new: VersionRule::of(state, wish.service).is_new(target),
    };
    Some((terms.cost(state, target) * silent, pick))
}

/// Work time of a route at the usual pace, in milliseconds.
pub fn work_ms(state: &State, route: &Route) -> f64 {
    state.work.borrow().expected_ms(route)
}

#[cfg(test)]
mod tests;
