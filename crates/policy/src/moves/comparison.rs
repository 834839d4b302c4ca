//! Judges a move from the merged counters: one line of comparison for the whole service and one for
//! each route, each against the old version at the same time.

use std::collections::{BTreeMap, BTreeSet};

use model::Time;
use wire::RouteCounts;

use super::{Assessment, Evidence, Side, line::Line};

/// Chance of a false alarm over a whole move for each test.
const ALPHA: f64 = 0.000_1;
/// Chance of a false alarm over a whole move for all routes together, for errors and for slowness
/// each. With the two tests of the whole service a good move is taken back wrongly in fewer than
/// 2 x 0.0001 + 2 x 0.0004 = 1 in 1,000 cases however many routes there are.
const ALL_ROUTES_ALPHA: f64 = 0.000_4;
/// Shortest time between two observations in microseconds. Counters arrive every 250 ms from each
/// instance; more observations than this would only cost time.
const MIN_GAP_US: u64 = 100_000;
/// Calls on the new version at a share before it is called good there.
const MIN_GOOD_CALLS: u64 = 50;

/// Progress of the tests of one move in one instance.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    share: u16,
    last: Option<Time>,
    seen: [BTreeMap<String, RouteCounts>; 2],
    whole: Line,
    routes: BTreeMap<String, Line>,
    opinion: Assessment,
}

impl VersionComparison {
    /// What the last call of [`assess`] found.
    #[must_use]
    pub const fn opinion(&self) -> &Assessment {
        &self.opinion
    }

    /// Whether this is no time for a step: some test leans towards a fault without being sure, or
    /// something disturbs both versions. A step to full share in a disturbance would leave only
    /// the old version's earlier and better rates to compare with.
    #[must_use]
    pub fn defers_step(&self) -> bool {
        let suspicious = self.routes.values().any(Line::is_suspicious);
        suspicious || self.whole.is_suspicious() || self.whole.is_disturbed()
    }
}

/// Adds what `evidence` holds beyond the last call and returns what it says at `share`. To be called
/// about every 250 ms while the move is in progress.
pub fn assess<'a>(
    trial: &'a mut VersionComparison,
    evidence: &Evidence,
    share: u16,
    now: Time,
) -> &'a Assessment {
    if trial.share != share {
        trial.share = share;
        trial.whole.restart();
        trial.opinion = match std::mem::take(&mut trial.opinion) {
            bad @ Assessment::Bad { .. } => bad,
            _ => Assessment::Inconclusive,
        };
    }
    let early = trial.last.is_some_and(|t| now.since_us(t) < MIN_GAP_US);
    if early || matches!(trial.opinion, Assessment::Bad { .. }) {
        return &trial.opinion;
    }
    trial.last = Some(now);
    trial.opinion = observe(trial, evidence);
    &trial.opinion
}

fn observe(trial: &mut VersionComparison, evidence: &Evidence) -> Assessment {
    let rises = trial.rises(evidence);
    let mut sums = [RouteCounts::default(), RouteCounts::default()];
    for (_, [old, new]) in &rises {
        add(&mut sums[0], old);
        add(&mut sums[1], new);
    }
    let [old, new] = sums;
    let whole = trial.whole.observe(old, &new, ALPHA, [0.0; 2]);
    let mut found = whole.map(str::to_owned);
    // A route may have too few calls to show a disturbance of the whole service.
    let floors = trial.whole.disturbance();
    let routes = u32::try_from(rises.len().max(1)).unwrap_or(u32::MAX);
    let alpha = ALPHA.min(ALL_ROUTES_ALPHA / f64::from(routes));
    for (route, [old, new]) in rises {
        let line = trial.routes.entry(route.clone()).or_default();
        if let Some(test) = line.observe(old, &new, alpha, floors) {
            found.get_or_insert(format!("{test}:{route}"));
        }
    }
    if let Some(reason) = found {
        return Assessment::Bad { reason };
    }
    if !trial.defers_step() && trial.whole.is_accepted(MIN_GOOD_CALLS) {
        Assessment::Good
    } else {
        Assessment::Inconclusive
    }
}

impl VersionComparison {
    /// Calls of both versions by route since the last observation.
    fn rises(&mut self, evidence: &Evidence) -> Vec<(String, [RouteCounts; 2])> {
        let sides = [Side::Old, Side::New];
        let names = sides.map(|side| evidence.totals(side).keys());
        let names: BTreeSet<&String> = names.into_iter().flatten().collect();
        let rise = |route: &String| {
            let rises = sides.map(|side| self.rise(evidence, side, route));
            (route.clone(), rises)
        };
        names.into_iter().map(rise).collect()
    }

    /// Counts beyond those seen before, which are then counted as seen.
    fn rise(&mut self, evidence: &Evidence, side: Side, route: &str) -> RouteCounts {
        let Some(total) = evidence.totals(side).get(route) else {
            return RouteCounts::default();
        };
        let seen = &mut self.seen[side.index()];
        if !seen.contains_key(route) {
            seen.insert(route.to_owned(), RouteCounts::default());
        }
        let seen = seen.get_mut(route).expect("inserted above");
        let rise = RouteCounts {
            calls: total.calls - seen.calls,
            errors: total.errors - seen.errors,
            slow: total.slow - seen.slow,
        };
        seen.clone_from(total);
        rise
    }
}

fn add(sum: &mut RouteCounts, more: &RouteCounts) {
    sum.calls += more.calls;
    sum.errors += more.errors;
    sum.slow += more.slow;
}

#[cfg(test)]
mod tests;
