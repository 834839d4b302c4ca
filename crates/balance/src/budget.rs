//! Limit on second sends, so that retries of all instances together stay within what a service bears.

use std::collections::VecDeque;

use model::Time;

/// Part of the allowed ratio that is used. Requests at other instances are not seen here, and shares
/// move with the callers.
const RATIO_USED: f64 = 0.7;
/// Part of the allowed constant that is used, split over the instances.
const SLACK_USED: f64 = 0.7;

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
    pub fn note_request(&mut self, now: Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether one more second send fits, with `instances` sharing the slack.
    pub fn allows(&mut self, now: Time, instances: usize) -> bool {
        self.forget(now);
        let slack = self.slack * SLACK_USED / instances.max(1) as f64;
        let limit = self.requests.len() as f64 * self.ratio * RATIO_USED + slack;
        (self.extras.len() as f64) + 1.0 <= limit
    }

    /// Notes a second send.
    pub fn note_extra(&mut self, now: Time) {
        self.extras.push_back(now);
    }

    /// Second sends and requests in the window.
    #[must_use]
    pub fn used(&self) -> (usize, usize) {
        (self.extras.len(), self.requests.len())
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
