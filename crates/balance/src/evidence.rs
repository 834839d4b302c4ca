//! What requests have shown of the two versions in a rollout.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Failure share of a good version that is always tolerated: answers are lost or spoiled now and then.
const USUAL_BAD: f64 = 0.03;
/// Largest failure share of the old version that is taken as the norm.
const MAX_USUAL_BAD: f64 = 0.25;
/// Failure share assumed of a bad version. Bad ones fail about half of their requests.
const ASSUMED_BAD: f64 = 0.35;
/// Distance of the two assumptions when the old version fails often as well.
const MIN_DISTANCE: f64 = 0.2;
/// Distance to the share assumed of versions that fail at times, such as a seventh of their requests under
/// load.
const SMALL_DISTANCE: f64 = 0.09;
/// Failures without which a version is not said to fail at times. Failures come earlier than successes
/// after a stage has begun.
const MIN_BAD_AT_TIMES: u32 = 8;
/// Log likelihood ratio for a judgement: a good version is taken for a bad one in 1 of 400 tests.
const BAD_RATIO: f64 = 6.0;
/// Failures without which no version is called bad.
const MIN_BAD: u32 = 4;

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Proper responses in the usual time.
    pub good: u32,
    /// Failures, and responses that took several times as long as usual.
    pub bad: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }
}

/// Outcomes by stage of the rollout and route. Stages are kept apart, so that good outcomes from
/// before a fault began do not hide it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Of the new version.
    pub new: BTreeMap<(u8, u64), Tally>,
    /// Of the old version, over all routes.
    pub old: Tally,
}

impl Evidence {
    /// Notes the outcome of one request.
    pub fn record(&mut self, is_new: bool, stage: u8, route: u64, is_good: bool) {
        let tally = if is_new {
            self.new.entry((stage, route)).or_default()
        } else {
            &mut self.old
        };
        tally.add(Tally {
            good: u32::from(is_good),
            bad: u32::from(!is_good),
        });
    }

    /// Adds what another instance has seen.
    pub fn merge(&mut self, other: &Self) {
        for (key, tally) in &other.new {
            self.new.entry(*key).or_default().add(*tally);
        }
        self.old.add(other.old);
    }

    /// Outcomes of the new version in one stage.
    #[must_use]
    pub fn stage_tally(&self, stage: u8) -> Tally {
        let mut sum = Tally::default();
        for ((at, _), tally) in &self.new {
            if *at == stage {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Whether the new version is bad, on one route or over all, in any stage.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let usual = (2.0 * self.old.bad_share()).clamp(USUAL_BAD, MAX_USUAL_BAD);
        let mut stages: BTreeMap<u8, Tally> = BTreeMap::new();
        for ((stage, _), tally) in &self.new {
            if exceeds(*tally, usual) {
                return true;
            }
            stages.entry(*stage).or_default().add(*tally);
        }
        stages.values().any(|tally| exceeds(*tally, usual))
    }
}

/// Whether a tally shows more failures than usual: many of few requests, or some of many.
fn exceeds(tally: Tally, usual: f64) -> bool {
    let often = ASSUMED_BAD.max(usual + MIN_DISTANCE);
    let at_times = usual + SMALL_DISTANCE;
    (tally.bad >= MIN_BAD && ratio(tally, usual, often) >= BAD_RATIO)
        || (tally.bad >= MIN_BAD_AT_TIMES && ratio(tally, usual, at_times) >= BAD_RATIO)
}

/// Log likelihood ratio of the assumed failure share against the usual one, as in a sequential probability
/// ratio test.
fn ratio(tally: Tally, usual: f64, assumed: f64) -> f64 {
    f64::from(tally.bad) * (assumed / usual).ln()
        + f64::from(tally.good) * ((1.0 - assumed) / (1.0 - usual)).ln()
}

#[cfg(test)]
mod tests;
