//! Decides from the merged counters of a move whether the new version is worse. The whole service
//! and each route are compared separately, always with the old version at the same time.

use std::collections::{BTreeMap, BTreeSet};

use model::Time;
use wire::RouteCounts;

use super::{Assessment, Evidence, Side, scope_comparison::ScopeComparison};

/// Probability of a false alarm over a whole move for each test.
const ALPHA: f64 = 0.000_1;
/// Probability of a false alarm over a whole move for all routes together, for errors and for slow
/// calls each. With the two tests of the whole service, fewer than 2 x 0.0001 + 2 x 0.0004 = 1 in
/// 1,000 moves to a good version are undone, however many routes there are.
const ALL_ROUTES_ALPHA: f64 = 0.000_4;
/// Shortest time between two observations in microseconds. Each instance sends its counters every
/// 250 ms, so more frequent observations would cost time and show nothing new.
const MIN_OBSERVATION_GAP_US: u64 = 100_000;
/// Calls on the new version at a share before the assessment there is [`Assessment::Good`].
const MIN_GOOD_CALLS: u64 = 50;

/// State of the comparison of one move's versions in one instance.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    share: u16,
    observed_at: Option<Time>,
    /// Counters that the tests already include, by version and route.
    observed_counts: [BTreeMap<String, RouteCounts>; 2],
    service: ScopeComparison,
    routes: BTreeMap<String, ScopeComparison>,
    assessment: Assessment,
}

impl VersionComparison {
    /// Returns the result of the last call of [`assess`].
    #[must_use]
    pub const fn assessment(&self) -> &Assessment {
        &self.assessment
    }

    /// Returns whether the next step of the move should wait: a test favours a fault without being
    /// certain, or something disturbs both versions. After a step to full share in a disturbance,
    /// only the old version's earlier and better rates would be left to compare with.
    #[must_use]
    pub fn defers_step(&self) -> bool {
        let suspects_route = self.routes.values().any(ScopeComparison::suspects_fault);
        suspects_route || self.service.suspects_fault() || self.service.is_disturbed()
    }
}

/// Adds the counts of `evidence` that are new since the last call and returns the assessment of the
/// new version at `share`. To be called about every 250 ms while the move is in progress.
pub fn assess<'a>(
    comparison: &'a mut VersionComparison,
    evidence: &Evidence,
    share: u16,
    now: Time,
) -> &'a Assessment {
    if comparison.share != share {
        comparison.share = share;
        comparison.service.begin_share();
        comparison.assessment = match std::mem::take(&mut comparison.assessment) {
            bad @ Assessment::Bad { .. } => bad,
            _ => Assessment::Inconclusive,
        };
    }
    let early = comparison
        .observed_at
        .is_some_and(|t| now.since_us(t) < MIN_OBSERVATION_GAP_US);
    if early || matches!(comparison.assessment, Assessment::Bad { .. }) {
        return &comparison.assessment;
    }
    comparison.observed_at = Some(now);
    comparison.assessment = observe(comparison, evidence);
    &comparison.assessment
}

/// Runs the tests on the counts that are new since the last observation.
fn observe(comparison: &mut VersionComparison, evidence: &Evidence) -> Assessment {
    let increases = comparison.take_increases(evidence);
    let mut sums = [RouteCounts::default(), RouteCounts::default()];
    for (_, [old, new]) in &increases {
        add(&mut sums[0], old);
        add(&mut sums[1], new);
    }
    let [old, new] = sums;
    let service_fault = comparison.service.observe(old, &new, ALPHA, [0.0; 2]);
    let mut fault = service_fault.map(str::to_owned);
    // A route may have too few calls to show a disturbance of the whole service.
    let min_rates = comparison.service.disturbed_rates();
    let routes = u32::try_from(increases.len().max(1)).unwrap_or(u32::MAX);
    let alpha = ALPHA.min(ALL_ROUTES_ALPHA / f64::from(routes));
    for (route, [old, new]) in increases {
        let scope = comparison.routes.entry(route.clone()).or_default();
        if let Some(test) = scope.observe(old, &new, alpha, min_rates) {
            fault.get_or_insert(format!("{test}:{route}"));
        }
    }
    if let Some(reason) = fault {
        return Assessment::Bad { reason };
    }
    if !comparison.defers_step() && comparison.service.is_accepted(MIN_GOOD_CALLS) {
        Assessment::Good
    } else {
        Assessment::Inconclusive
    }
}

impl VersionComparison {
    /// Returns the calls of both versions by route since the last observation, and marks them as
    /// observed.
    fn take_increases(&mut self, evidence: &Evidence) -> Vec<(String, [RouteCounts; 2])> {
        let sides = [Side::Old, Side::New];
        let names = sides.map(|side| evidence.totals(side).keys());
        let names: BTreeSet<&String> = names.into_iter().flatten().collect();
        let increases = |route: &String| {
            let increases = sides.map(|side| self.take_increase(evidence, side, route));
            (route.clone(), increases)
        };
        names.into_iter().map(increases).collect()
    }

    /// Returns the counts of one route since the last observation, and marks them as observed.
    fn take_increase(&mut self, evidence: &Evidence, side: Side, route: &str) -> RouteCounts {
        let Some(total) = evidence.totals(side).get(route) else {
            return RouteCounts::default();
        };
        let observed = &mut self.observed_counts[side.index()];
        if !observed.contains_key(route) {
            observed.insert(route.to_owned(), RouteCounts::default());
        }
        let observed = observed.get_mut(route).expect("inserted above");
        let increase = RouteCounts {
            calls: total.calls - observed.calls,
            errors: total.errors - observed.errors,
            slow: total.slow - observed.slow,
        };
        observed.clone_from(total);
        increase
    }
}

fn add(sum: &mut RouteCounts, more: &RouteCounts) {
    sum.calls += more.calls;
    sum.errors += more.errors;
    sum.slow += more.slow;
}

#[cfg(test)]
mod tests;
