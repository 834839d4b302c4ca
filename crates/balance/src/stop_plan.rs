//! Times of a planned stop: until when callers may come, which of their requests are still sent to
//! targets, and when the last ones are answered.

use model::Time;

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

    /// Returns the time at which idle connections are closed, and from which the process may end. Most
    /// callers have asked for addresses again by then.
    #[must_use]
    pub const fn idle_end(&self) -> Time {
        self.started.plus_us(self.total_us / 5 * 4)
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
