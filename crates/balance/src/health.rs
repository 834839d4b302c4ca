//! Whether a target answers well, from the outcomes that this instance and others have seen.

use model::Time;

/// Half-life of outcomes, in microseconds. Faults last some seconds, and a target sees about ten
/// requests a second from all instances.
const HALF_LIFE_US: f64 = 1_500_000.0;
/// Failures in a row after which a target is left out.
const ROW: u32 = 3;
/// Share of failures from which a target is left out.
const BAD_SHARE: f64 = 0.3;
/// Weight of outcomes needed for a judgement on the share.
const MIN_WEIGHT: f64 = 4.0;
/// First time for which a target is left out, in microseconds.
const FIRST_OUT_US: u64 = 700_000;
/// Longest time for which a target is left out, in microseconds.
const MAX_OUT_US: u64 = 3_000_000;

/// Recent outcomes of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    row: u32,
    noted: Time,
    out_until: Time,
    out_us: u64,
}

impl Health {
    /// Takes in outcomes of one target.
    pub fn record(&mut self, now: Time, good: u32, bad: u32) {
        let faded = 0.5_f64.powf(now.since_us(self.noted) as f64 / HALF_LIFE_US);
        self.noted = now;
        self.good = self.good * faded + f64::from(good);
        self.bad = self.bad * faded + f64::from(bad);
        self.row = if good > 0 { 0 } else { self.row + bad };
        if good > 0 && bad == 0 && now >= self.out_until {
            self.out_us = 0;
        }
        let weight = self.good + self.bad;
        let is_bad = weight >= MIN_WEIGHT && self.bad / weight >= BAD_SHARE;
        if bad > 0 && now >= self.out_until && (self.row >= ROW || is_bad) {
            self.out_us = (self.out_us * 2).clamp(FIRST_OUT_US, MAX_OUT_US);
            self.out_until = now.plus_us(self.out_us);
        }
    }

    /// Leaves the target out for the first interval; for connections that are refused.
    pub fn record_refused(&mut self, now: Time) {
        self.record(now, 0, ROW);
    }

    /// Whether the target is left out.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.out_until
    }

    /// Share of failures, faded towards none.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let faded = 0.5_f64.powf(now.since_us(self.noted) as f64 / HALF_LIFE_US);
        let weight = (self.good + self.bad) * faded;
        self.bad * faded / weight.max(MIN_WEIGHT)
    }
}

#[cfg(test)]
mod tests;
