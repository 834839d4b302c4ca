//! Outcomes of requests to the old and the new version during a rollout, and the tests whether the
//! new version is bad, and whether it has shown that it is good. With few outcomes it is neither.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Lowest failure rate that counts as normal: a good version also has some lost or broken
/// responses.
const MIN_USUAL_RATE: f64 = 0.03;
/// Highest failure rate that counts as normal, however often the old version fails.
const MAX_USUAL_RATE: f64 = 0.25;
/// Failure rate assumed for a version that fails often. Such versions fail about half of their
/// requests.
const BAD_RATE: f64 = 0.35;
/// Smallest distance between the usual failure rate and the one assumed for a version that fails
/// often. Takes effect when the old version fails often as well.
const MIN_RATE_DISTANCE: f64 = 0.2;
/// Distance between the usual failure rate and the one assumed for a version that fails
/// occasionally, such as a seventh of its requests under load.
const OCCASIONAL_DISTANCE: f64 = 0.09;
/// Failures needed to find that a version fails occasionally. More than [`MIN_BAD`], because
/// failures arrive earlier than successes after a stage has begun.
const MIN_BAD_OCCASIONAL: u32 = 8;
/// Log likelihood ratio from which a version is bad. At this value, 1 of 1,100 tests finds a good
/// version to be bad; there is one for each route and stage.
const BAD_LOG_RATIO: f64 = 7.0;
/// Log likelihood ratio up to which a version counts as good, over all its outcomes. At this value, 1 of
/// 12 tests finds a version to be good that fails occasionally.
const GOOD_LOG_RATIO: f64 = -2.5;
/// The same for the outcomes at targets under load alone.
const GOOD_LOADED_LOG_RATIO: f64 = -1.0;
/// Lowest failure rate that counts as normal when a version is to count as good: it may get all requests
/// then, so that the few outcomes of its trial must show less than [`MIN_USUAL_RATE`].
const MIN_GOOD_RATE: f64 = 0.02;
/// Highest failure rate of the old version, doubled, up to which a version that fails as often can count
/// as good. The old version may be a bad one itself.
const MAX_GOOD_RATE: f64 = 0.1;
/// Failures of the old version on a route needed to leave the route out of the comparison.
const MIN_BAD_OLD: u32 = 2;
/// Failures needed to find any version to be bad.
const MIN_BAD: u32 = 4;
/// Failures on a single route that keep a version from counting as good if they are frequent there.
const MIN_BAD_ROUTE: u32 = 2;

/// Number of good and of bad outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Proper responses that arrived in the usual time.
    pub good: u32,
    /// Failures, and responses that took several times as long as expected.
    pub bad: u32,
}

impl Tally {
    /// Adds the outcomes of another tally.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Returns the number of outcomes.
    #[must_use]
    pub fn total(self) -> u32 {
        self.good + self.bad
    }

    fn bad_rate(self) -> f64 {
        f64::from(self.bad) / f64::from(self.total().max(1))
    }
}

/// Outcomes by version and route. Those of the new version are also kept apart by stage of the rollout,
/// so that good outcomes from before a fault began do not hide it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Outcomes of the new version, by stage and hash of the route's name.
    pub new: BTreeMap<(u8, u64), Tally>,
    /// Outcomes of the old version, by hash of the route's name.
    pub old: BTreeMap<u64, Tally>,
    /// Requests to the new version without an outcome yet, by hash of the route's name.
    pub pending: BTreeMap<u64, u32>,
}

impl Evidence {
    /// Records the outcome of one request. `route` is a hash of the route's name.
    pub fn record(&mut self, is_new: bool, stage: u8, route: u64, is_good: bool) {
        let outcome = Tally {
            good: u32::from(is_good),
            bad: u32::from(!is_good),
        };
        let tally = if is_new {
            self.new.entry((stage, route)).or_default()
        } else {
            self.old.entry(route).or_default()
        };
        tally.add(outcome);
    }

    /// Records that a request was sent to the new version.
    pub fn begin_pending(&mut self, route: u64) {
        *self.pending.entry(route).or_default() += 1;
    }

    /// Records that a request to the new version has ended.
    pub fn end_pending(&mut self, route: u64) {
        if let Some(count) = self.pending.get_mut(&route) {
            *count = count.saturating_sub(1);
        }
    }

    /// Adds the outcomes that another instance recorded.
    pub fn merge(&mut self, other: &Self) {
        for (key, tally) in &other.new {
            self.new.entry(*key).or_default().add(*tally);
        }
        for (route, tally) in &other.old {
            self.old.entry(*route).or_default().add(*tally);
        }
        for (route, count) in &other.pending {
            *self.pending.entry(*route).or_default() += count;
        }
    }

    /// Returns the number of requests that were sent to the new version.
    #[must_use]
    pub fn sent_to_new(&self) -> u32 {
        sum(self.new.values()).total() + self.pending.values().sum::<u32>()
    }

    /// Returns the number of outcomes of both versions.
    #[must_use]
    pub fn outcomes(&self) -> u32 {
        sum(self.new.values()).total() + self.old_tally().total()
    }

    /// Returns whether the new version is bad since any stage, on a single route or over all routes.
    /// Pending requests count as good: many failures are answered sooner than successes, so that the
    /// first outcomes of a stage are no fair sample.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let usual_rate = (2.0 * self.old_tally().bad_rate()).clamp(MIN_USUAL_RATE, MAX_USUAL_RATE);
        let stages: BTreeSet<u8> = self.new.keys().map(|(stage, _)| *stage).collect();
        stages.into_iter().any(|stage| {
            let mut routes = self.new_since(stage);
            for (route, tally) in &mut routes {
                tally.good += self.pending.get(route).copied().unwrap_or_default();
            }
            let all = sum(routes.values());
            routes.into_values().any(|t| fails_more(t, usual_rate)) || fails_more(all, usual_rate)
        })
    }

    /// Returns whether the new version has shown that it is good: it fails no more often than usual, or
    /// half as often as an old version that fails often. Few outcomes show neither. From the stage
    /// `loaded` on, its targets are under load.
    #[must_use]
    pub fn is_good(&self, loaded: u8) -> bool {
        let routes = self.new_since(0);
        let old = self.old_tally();
        let old_rate = old.bad_rate();
        if old_rate < BAD_RATE && routes.values().copied().any(fails_often) {
            return false;
        }
        let (all, under_load) = (sum(routes.values()), sum(self.new_since(loaded).values()));
        let is_shown = |rate: f64, assumed_rate: f64| {
            log_likelihood_ratio(all, rate, assumed_rate) <= GOOD_LOG_RATIO
                && log_likelihood_ratio(under_load, rate, assumed_rate) <= GOOD_LOADED_LOG_RATIO
        };
        // One more failure than was seen, since a few hundred outcomes show a low rate only roughly.
        let upper_rate = f64::from(old.bad + 1) / f64::from(old.total() + 1);
        let usual_rate = (2.0 * upper_rate).clamp(MIN_GOOD_RATE, MAX_GOOD_RATE);
        is_shown(usual_rate, usual_rate + OCCASIONAL_DISTANCE)
            || (old_rate > MAX_GOOD_RATE && is_shown(old_rate / 2.0, old_rate))
    }

    /// Returns whether the outcomes of the new version are rather those of a good one. Without any, or with
    /// a single failure, they are.
    #[must_use]
    pub fn is_rather_good(&self) -> bool {
        let all = sum(self.new_since(0).values());
        let assumed_rate = MIN_USUAL_RATE + OCCASIONAL_DISTANCE;
        all.bad <= 1 || log_likelihood_ratio(all, MIN_USUAL_RATE, assumed_rate) <= 0.0
    }

    fn old_tally(&self) -> Tally {
        sum(self.old.values())
    }

    /// Returns the outcomes of the new version from `stage` on, by route, without the routes on which it
    /// cannot be told from the old one.
    fn new_since(&self, stage: u8) -> BTreeMap<u64, Tally> {
        let mut routes: BTreeMap<u64, Tally> = BTreeMap::new();
        for ((_, route), tally) in self.new.range((stage, 0)..) {
            if !self.fails_at_old_version(*route) {
                routes.entry(*route).or_default().add(*tally);
            }
        }
        routes
    }

    /// Whether the old version fails so often on a route that the new one cannot be told from it
    /// there.
    fn fails_at_old_version(&self, route: u64) -> bool {
        self.old
            .get(&route)
            .is_some_and(|tally| tally.bad >= MIN_BAD_OLD && tally.bad_rate() >= BAD_RATE)
    }
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    let mut sum = Tally::default();
    tallies.for_each(|tally| sum.add(*tally));
    sum
}

/// Whether failures seem to be frequent on a route. A few outcomes are enough for a doubt.
fn fails_often(tally: Tally) -> bool {
    tally.bad >= MIN_BAD_ROUTE && log_likelihood_ratio(tally, MIN_USUAL_RATE, BAD_RATE) > 0.0
}

/// Returns whether a tally is significantly worse than `usual_rate`: frequent failures among few
/// requests, or occasional failures among many.
fn fails_more(tally: Tally, usual_rate: f64) -> bool {
    let frequent_rate = BAD_RATE.max(usual_rate + MIN_RATE_DISTANCE);
    let occasional_rate = usual_rate + OCCASIONAL_DISTANCE;
    (tally.bad >= MIN_BAD
        && log_likelihood_ratio(tally, usual_rate, frequent_rate) >= BAD_LOG_RATIO)
        || (tally.bad >= MIN_BAD_OCCASIONAL
            && log_likelihood_ratio(tally, usual_rate, occasional_rate) >= BAD_LOG_RATIO)
}

/// Returns the log likelihood ratio of the assumed failure rate against the usual one, as in a
/// sequential probability ratio test.
fn log_likelihood_ratio(tally: Tally, usual_rate: f64, assumed_rate: f64) -> f64 {
    f64::from(tally.bad) * (assumed_rate / usual_rate).ln()
        + f64::from(tally.good) * ((1.0 - assumed_rate) / (1.0 - usual_rate)).ln()
}

#[cfg(test)]
mod tests;
