//! Times of a planned stop: until when callers may come, which of their requests are still sent to
//! targets, and when the last ones are answered.

use model::Time;

/// Time until callers that ask for addresses are no longer told of a stopping instance, in
/// microseconds: its report, the next digest, and the way of both.
const NOTICE_US: u64 = 1_000_000;
/// Callers keep addresses for up to this multiple of the stated time.
const KEPT_FACTOR: u64 = 3;
/// Longest and shortest time for which callers may keep addresses, in milliseconds. A longer time
/// saves queries.
const MAX_TTL_MS: u64 = 3_000;
const MIN_TTL_MS: u64 = 500;
/// Usual processing times for which there must be time left, for a request that may need longer than
/// the stop lasts.
const USUAL_FACTOR: f64 = 2.0;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    started: Time,
    total_us: u64,
}

impl StopPlan {
    /// Returns the plan of a stop that starts at `started` and may take `total_us`.
    #[must_use]
    pub const fn new(started: Time, total_us: u64) -> Self {
        Self { started, total_us }
    }

    /// Returns the time for which callers may keep addresses, in milliseconds, so that none still has
    /// that of a stopping instance after four fifths of its `total_us`.
    #[must_use]
    pub fn address_ttl_ms(total_us: u64) -> u64 {
        let kept_us = (total_us / 5 * 4).saturating_sub(NOTICE_US);
        (kept_us / KEPT_FACTOR / 1_000).clamp(MIN_TTL_MS, MAX_TTL_MS)
    }

    /// Returns the time from which no caller has the address of the instance any more.
    #[must_use]
    pub fn callers_gone(&self) -> Time {
        let kept_us = Self::address_ttl_ms(self.total_us) * 1_000 * KEPT_FACTOR;
        let gone = self.started.plus_us(NOTICE_US + kept_us);
        gone.min(self.answers_end())
    }

    /// Returns the time at which the last requests are answered. The platform forgives that a request
    /// of the first half is ended in the last sixth of the time.
    #[must_use]
    pub const fn answers_end(&self) -> Time {
        self.started.plus_us(self.total_us / 10 * 9)
    }

    /// Returns the time at which the process ends even if callers have not read their responses.
    #[must_use]
    pub const fn exit(&self) -> Time {
        self.started.plus_us(self.total_us / 15 * 14)
    }

    /// Whether a request is still sent to a target that arrives at `now`, must be answered by
    /// `deadline` and usually takes `usual_ms`. Once the first half of the time is over, only a
    /// request that ends before the stop does, however long its target takes.
    #[must_use]
    pub fn accepts(&self, now: Time, deadline: Time, usual_ms: f64) -> bool {
        let end = self.answers_end();
        if deadline <= end {
            return true;
        }
        let is_first_half = now.since_us(self.started) < self.total_us / 2;
        let left_ms = end.since_us(now) as f64 / 1_000.0;
        is_first_half && left_ms >= usual_ms * USUAL_FACTOR
    }
}

#[cfg(test)]
mod tests;
