//! Limit on second sends, so that retries of all instances together stay within what a service bears.

use std::collections::VecDeque;

use model::Time;

use crate::BudgetUsage;

/// Part of the allowed ratio that is used. Requests at other instances are not seen here, and shares
/// move with the callers.
const RATIO_USED: f64 = 0.7;
/// Part of the allowed constant that is used, split over the instances.
const SLACK_USED: f64 = 0.7;
/// Part of the allowed ratio that the whole system may have used for an instance to exceed its own share.
/// What the others send until they know of it must still fit.
const SHARED_RATIO: f64 = 0.4;
/// The same for the allowed constant.
const SHARED_SLACK: f64 = 0.5;
/// Second sends beyond the own share for each request of the last second. Together with views that are
/// two seconds old, this bounds what all instances can send too many.
const SHARED_PACE: f64 = 0.5;
/// Span for that pace, in microseconds.
const PACE_US: u64 = 1_000_000;

/// Second sends to one service by this instance, in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window_us: u64,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Time>,
    extras: VecDeque<Time>,
}

impl RetryBudget {
    /// A budget of `ratio` times the requests plus `slack` over all instances, in any window.
    #[must_use]
    pub fn new(window_us: u64, ratio: f64, slack: f64) -> Self {
        Self {
            window_us,
            ratio,
            slack,
            requests: VecDeque::new(),
            extras: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether one more second send fits, with `instances` sharing the slack.
    pub fn allows(&mut self, now: Time, instances: usize) -> bool {
        self.allows_fraction(now, instances, 1.0)
    }

    /// Whether one more second send stays within `part` of the share. What is left is for sends that
    /// matter more.
    pub fn allows_fraction(&mut self, now: Time, instances: usize, part: f64) -> bool {
        self.forget(now);
        let slack = self.slack * SLACK_USED / instances.max(1) as f64;
        let share = self.requests.len() as f64 * self.ratio * RATIO_USED + slack;
        (self.extras.len() as f64) + 1.0 <= share * part
    }

    /// Whether one more second send fits although the own share is used. `others`: what the other
    /// instances used lately; `part`: part of all instances that told of it, this one included.
    pub fn allows_beyond_share(&mut self, now: Time, others: BudgetUsage, part: f64) -> bool {
        self.forget(now);
        let requests = f64::from(others.requests) + self.requests.len() as f64;
        let extras = f64::from(others.extra_attempts) + self.extras.len() as f64;
        let limit =
            requests * self.ratio * SHARED_RATIO + self.slack * SHARED_SLACK * part.clamp(0.0, 1.0);
        let recent = |list: &VecDeque<Time>| {
            let from_end = list.iter().rev();
            from_end.take_while(|t| now.since_us(**t) < PACE_US).count() as f64
        };
        let pace = (recent(&self.requests) * SHARED_PACE).max(1.0);
        extras < limit && recent(&self.extras) < pace
    }

    /// Notes a second send.
    pub fn record_extra_attempt(&mut self, now: Time) {
        self.extras.push_back(now);
    }

    /// Gives one second send back that was noted and not made.
    pub fn refund_extra_attempt(&mut self) {
        self.extras.pop_back();
    }

    /// Requests and second sends in the window.
    pub fn usage(&mut self, now: Time) -> BudgetUsage {
        self.forget(now);
        let count = |list: &VecDeque<Time>| u32::try_from(list.len()).unwrap_or(u32::MAX);
        BudgetUsage {
            requests: count(&self.requests),
            extra_attempts: count(&self.extras),
        }
    }

    fn forget(&mut self, now: Time) {
        for list in [&mut self.requests, &mut self.extras] {
            while list
                .front()
                .is_some_and(|t| now.since_us(*t) > self.window_us)
            {
                list.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
