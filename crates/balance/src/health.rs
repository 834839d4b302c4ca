//! Outlier ejection of targets, by the outcomes that this instance and its peers recorded.

use model::Time;

/// Half-life of outcomes, in microseconds. Faults last a few seconds, and a target gets about ten
/// requests a second from all instances.
const HALF_LIFE_US: f64 = 1_500_000.0;
/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate from which a target is ejected.
const EJECTION_RATE: f64 = 0.3;
/// Decayed number of outcomes needed to eject a target by its failure rate.
const MIN_WEIGHT: f64 = 4.0;
/// Duration of a target's first ejection, in microseconds. Each further one lasts twice as long as
/// the one before.
const FIRST_EJECTION_US: u64 = 700_000;
/// Longest duration of an ejection, in microseconds.
const MAX_EJECTION_US: u64 = 3_000_000;

/// Recent outcomes of one target, and its ejection. Older outcomes decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Decayed numbers of good and bad outcomes.
    good: f64,
    bad: f64,
    /// Failures since the latest success.
    consecutive: u32,
    last_recorded: Time,
    ejected_until: Time,
    /// Duration of the latest ejection, in microseconds. A success after its end resets it to 0.
    ejection_us: u64,
}

impl Health {
    /// Records numbers of good and bad outcomes, and ejects the target if it fails too often.
    pub fn record(&mut self, now: Time, good: u32, bad: u32) {
        let decay = 0.5_f64.powf(now.since_us(self.last_recorded) as f64 / HALF_LIFE_US);
        self.last_recorded = now;
        self.good = self.good * decay + f64::from(good);
        self.bad = self.bad * decay + f64::from(bad);
        self.consecutive = if good > 0 { 0 } else { self.consecutive + bad };
        if good > 0 && bad == 0 && now >= self.ejected_until {
            self.ejection_us = 0;
        }
        let weight = self.good + self.bad;
        let is_bad = weight >= MIN_WEIGHT && self.bad / weight >= EJECTION_RATE;
        if bad > 0
            && now >= self.ejected_until
            && (self.consecutive >= CONSECUTIVE_FAILURES || is_bad)
        {
            self.ejection_us = (self.ejection_us * 2).clamp(FIRST_EJECTION_US, MAX_EJECTION_US);
            self.ejected_until = now.plus_us(self.ejection_us);
        }
    }

    /// Records a refused connection, which ejects the target at once.
    pub fn record_refused(&mut self, now: Time) {
        self.record(now, 0, CONSECUTIVE_FAILURES);
    }

    /// Returns whether the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns the recent failure rate. It decays to 0 while no outcomes are recorded.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let decay = 0.5_f64.powf(now.since_us(self.last_recorded) as f64 / HALF_LIFE_US);
        let weight = (self.good + self.bad) * decay;
        self.bad * decay / weight.max(MIN_WEIGHT)
    }
}

#[cfg(test)]
mod tests;
