//! Limit on requests that a target states in its responses.

use model::Time;

/// Time after the latest response from which a limit no longer counts, in microseconds. A target
/// that gets no requests cannot take its limit back.
const EXPIRY_US: u64 = 10_000_000;
/// Time after which all instances are told of an unchanged limit again, in microseconds. Three
/// reports may be lost before the limit expires.
const REPORT_INTERVAL_US: u64 = 3_000_000;
/// Relative change of a limit that is worth a report.
const MIN_CHANGE: f64 = 0.05;

/// What a target has last said about its limit, to any instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLimit {
    /// Requests a second from all instances together; `None` if there is no limit.
    rate: Option<f64>,
    /// When the response that says so arrived at an instance.
    as_of: Time,
    /// What all instances were last told, and when.
    told: Option<(Option<f64>, Time)>,
}

impl StatedLimit {
    /// Returns the requests a second that the target takes from all instances together; `None` if it
    /// has stated no limit, or not for a while.
    #[must_use]
    pub fn rate(&self, now: Time) -> Option<f64> {
        self.rate.filter(|_| now.since_us(self.as_of) < EXPIRY_US)
    }

    /// Returns the time since the response that stated the limit, in microseconds.
    #[must_use]
    pub fn age_us(&self, now: Time) -> u64 {
        now.since_us(self.as_of)
    }

    /// Records the limit in a response that arrived at an instance at `as_of`, unless a later one is
    /// known. Returns whether that is a change.
    pub fn record(&mut self, rate: Option<f64>, as_of: Time) -> bool {
        if as_of < self.as_of {
            return false;
        }
        let is_change = differs(self.rate(as_of), rate);
        self.rate = rate;
        self.as_of = as_of;
        is_change
    }

    /// Records what another instance has told all others. Returns whether that is a change.
    pub fn record_report(&mut self, rate: Option<f64>, as_of: Time, now: Time) -> bool {
        self.told = Some((rate, now));
        self.record(rate, as_of)
    }

    /// Returns the limit and its age in microseconds if all instances are to be told.
    pub fn take_report(&mut self, now: Time) -> Option<(Option<f64>, u64)> {
        let is_due = match self.told {
            None => self.rate.is_some(),
            Some((rate, _)) if differs(rate, self.rate) => true,
            Some((_, at)) => {
                let is_newer = self.as_of > at;
                self.rate.is_some() && is_newer && now.since_us(at) >= REPORT_INTERVAL_US
            }
        };
        if !is_due {
            return None;
        }
        self.told = Some((self.rate, now));
        Some((self.rate, self.age_us(now)))
    }
}

fn differs(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() > MIN_CHANGE * a.max(b),
        (a, b) => a.is_some() != b.is_some(),
    }
}

#[cfg(test)]
mod tests;
