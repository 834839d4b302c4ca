//! Outcomes of requests to the old and the new version during a rollout, and the test whether the
//! new version is bad.

use std::collections::BTreeMap;

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
/// Log likelihood ratio from which a version is bad. At this value, 1 of 400 tests finds a good
/// version to be bad.
const BAD_LOG_RATIO: f64 = 6.0;
/// Failures of the old version on a route needed to leave the route out of the comparison.
const MIN_BAD_OLD: u32 = 2;
/// Failures needed to find any version to be bad.
const MIN_BAD: u32 = 4;

/// Number of good and of bad outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Proper responses that arrived in the usual time.
    pub good: u32,
    /// Failures, and responses that took several times as long as expected.
    pub bad: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    fn bad_rate(self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }
}

/// Outcomes by version. Those of the new version are kept apart by stage of the rollout, so that
/// good outcomes from before a fault began do not hide it, and by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Outcomes of the new version, by stage and hash of the route's name.
    pub new: BTreeMap<(u8, u64), Tally>,
    /// Outcomes of the old version over all stages and routes.
    pub old: Tally,
    /// Outcomes of the old version on routes on which it has failed, from the first failure on, by
    /// hash of the route's name.
    pub old_failing: BTreeMap<u64, Tally>,
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
        if is_new {
            self.new.entry((stage, route)).or_default().add(outcome);
            return;
        }
        self.old.add(outcome);
        if !is_good || self.old_failing.contains_key(&route) {
            self.old_failing.entry(route).or_default().add(outcome);
        }
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
        self.old.add(other.old);
        for (route, tally) in &other.old_failing {
            self.old_failing.entry(*route).or_default().add(*tally);
        }
        for (route, count) in &other.pending {
            *self.pending.entry(*route).or_default() += count;
        }
    }

    /// Returns the outcomes of the new version in one stage over all routes.
    #[must_use]
    pub fn stage_tally(&self, stage: u8) -> Tally {
        let mut sum = Tally::default();
        for ((tally_stage, _), tally) in &self.new {
            if *tally_stage == stage {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Returns whether the new version is bad in any stage, on a single route or over all routes.
    /// Pending requests count as good in the last stage: many failures are answered sooner than
    /// successes, so that the first outcomes of a stage are no fair sample.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let usual_rate = (2.0 * self.old.bad_rate()).clamp(MIN_USUAL_RATE, MAX_USUAL_RATE);
        let last_stage = self.new.keys().map(|(stage, _)| *stage).max();
        let mut stages: BTreeMap<u8, Tally> = BTreeMap::new();
        for ((stage, route), tally) in &self.new {
            if self.fails_at_old_version(*route) {
                continue;
            }
            let mut tally = *tally;
            if Some(*stage) == last_stage {
                tally.good += self.pending.get(route).copied().unwrap_or_default();
            }
            if fails_more(tally, usual_rate) {
                return true;
            }
            stages.entry(*stage).or_default().add(tally);
        }
        stages.values().any(|tally| fails_more(*tally, usual_rate))
    }

    /// Whether the old version fails so often on a route that the new one cannot be told from it
    /// there.
    fn fails_at_old_version(&self, route: u64) -> bool {
        self.old_failing
            .get(&route)
            .is_some_and(|tally| tally.bad >= MIN_BAD_OLD && tally.bad_rate() >= BAD_RATE)
    }
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
