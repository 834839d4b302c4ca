//! Budget of extra attempts. Each send of a request to a target is an attempt; those beyond the
//! first, such as retries and hedges, are extra attempts.
//!
//! Each instance has a budget for each service. All of them together stay below a limit that holds
//! for the whole system: in a time window, a ratio of the requests plus a constant, the slack. An
//! instance first uses its own share of that limit. Beyond it, it may use what the others leave, by
//! the usage that they report.

use std::collections::VecDeque;

use model::Time;

use crate::BudgetUsage;

/// Fraction of the allowed ratio that an instance may use on its own. The rest is a reserve,
/// because an instance sees only its own requests and callers move between instances.
const OWN_RATIO_FRACTION: f64 = 0.7;
/// Fraction of the allowed slack that the instances may use on their own, each an equal share.
const OWN_SLACK_FRACTION: f64 = 0.7;
/// Fraction of the allowed ratio up to which all instances together may have used the budget for
/// one of them to exceed its own share. The rest covers what the others send until they learn of
/// it.
const SHARED_RATIO_FRACTION: f64 = 0.4;
/// The same fraction for the allowed slack.
const SHARED_SLACK_FRACTION: f64 = 0.5;
/// Largest number of extra attempts for each request of the last second at an instance that exceeds
/// its own share. With usage reports that are up to two seconds old, this bounds by how much all
/// instances together can exceed the limit.
const SHARED_RATE_LIMIT: f64 = 0.5;
/// Time over which [`SHARED_RATE_LIMIT`] is applied, in microseconds.
const RATE_WINDOW_US: u64 = 1_000_000;

/// Requests and extra attempts of this instance to one service in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window_us: u64,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Time>,
    extra_attempts: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates a budget. In any window of `window_us`, all instances together may make at most
    /// `ratio` times their requests plus `slack` extra attempts.
    #[must_use]
    pub fn new(window_us: u64, ratio: f64, slack: f64) -> Self {
        Self {
            window_us,
            ratio,
            slack,
            requests: VecDeque::new(),
            extra_attempts: VecDeque::new(),
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Removes the latest recorded request, because another instance has recorded it.
    pub fn refund_request(&mut self) {
        self.requests.pop_back();
    }

    /// Returns whether one more extra attempt stays within the share of this instance, when
    /// `instances` share the slack.
    pub fn allows(&mut self, now: Time, instances: usize) -> bool {
        self.allows_fraction(now, instances, 1.0)
    }

    /// Returns whether one more extra attempt stays within `fraction` of this instance's share. A
    /// fraction below 1 leaves the rest to attempts that matter more.
    pub fn allows_fraction(&mut self, now: Time, instances: usize, fraction: f64) -> bool {
        self.drop_expired(now);
        let slack = self.slack * OWN_SLACK_FRACTION / instances.max(1) as f64;
        let share = self.requests.len() as f64 * self.ratio * OWN_RATIO_FRACTION + slack;
        (self.extra_attempts.len() as f64) + 1.0 <= share * fraction
    }

    /// Returns whether one more extra attempt is allowed although this instance's share is used up.
    /// `others` is the recent usage of the peers, and `reporting` the fraction of all instances
    /// that it covers, counting this one.
    pub fn allows_beyond_share(&mut self, now: Time, others: BudgetUsage, reporting: f64) -> bool {
        self.drop_expired(now);
        let requests = f64::from(others.requests) + self.requests.len() as f64;
        let extra_attempts = f64::from(others.extra_attempts) + self.extra_attempts.len() as f64;
        let limit = requests * self.ratio * SHARED_RATIO_FRACTION
            + self.slack * SHARED_SLACK_FRACTION * reporting.clamp(0.0, 1.0);
        let recent = |list: &VecDeque<Time>| {
            let newest_first = list.iter().rev();
            newest_first
                .take_while(|t| now.since_us(**t) < RATE_WINDOW_US)
                .count() as f64
        };
        let rate_limit = (recent(&self.requests) * SHARED_RATE_LIMIT).max(1.0);
        extra_attempts < limit && recent(&self.extra_attempts) < rate_limit
    }

    /// Records an extra attempt.
    pub fn record_extra_attempt(&mut self, now: Time) {
        self.extra_attempts.push_back(now);
    }

    /// Removes the latest recorded extra attempt, because it was not made.
    pub fn refund_extra_attempt(&mut self) {
        self.extra_attempts.pop_back();
    }

    /// Returns the requests and extra attempts in the window that ends at `now`.
    pub fn usage(&mut self, now: Time) -> BudgetUsage {
        self.drop_expired(now);
        let count = |list: &VecDeque<Time>| u32::try_from(list.len()).unwrap_or(u32::MAX);
        BudgetUsage {
            requests: count(&self.requests),
            extra_attempts: count(&self.extra_attempts),
            unused_hedges_milli: 0,
        }
    }

    fn drop_expired(&mut self, now: Time) {
        for list in [&mut self.requests, &mut self.extra_attempts] {
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
