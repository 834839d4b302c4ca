//! What the return order must know of a request. Separates urgent from bulk requests, and those that can
//! wait from those that cannot, when they share targets.

use crate::Route;

/// Ratio of objective to processing time above which a request can wait.
const MIN_SLACK_FACTOR: f64 = 2.0;

/// Kind of a request at its service. Smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Number of priorities of the service that are more urgent.
    pub rank: usize,
    /// Whether the request has enough slack to be told to return in a later slot.
    pub can_wait: bool,
}

/// A request that asks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Kind of the request.
    pub kind: Kind,
    /// Processing time at the usual speed, in milliseconds.
    pub work_ms: f64,
    /// Latency objective, in milliseconds.
    pub objective_ms: f64,
    /// Time since the caller first sent the request, as far as known, in milliseconds.
    pub waited_ms: f64,
    /// Time that the caller has left, in milliseconds.
    pub left_ms: f64,
    /// Whether the caller has probably been told to return.
    pub is_return: bool,
}

impl Kind {
    /// Returns the kind of the requests of `route` with a usual processing time of `processing_ms`.
    /// Those with an objective of at most `min_objective_ms` cannot wait.
    #[must_use]
    pub fn of(route: &Route, rank: usize, processing_ms: f64, min_objective_ms: u64) -> Self {
        let is_long = route.objective_ms > min_objective_ms;
        let has_slack = route.objective_ms as f64 > MIN_SLACK_FACTOR * processing_ms;
        Self {
            rank,
            can_wait: is_long && has_slack,
        }
    }
}

impl Ask {
    /// Returns for how long the request may still wait and meet its objective, in milliseconds.
    pub(super) fn useful_ms(&self) -> f64 {
        self.objective_ms - self.work_ms - self.waited_ms
    }

    /// Returns the longest time after which its caller comes back, in milliseconds: callers honour a
    /// third of the time that they have left.
    pub(super) fn reach_ms(&self) -> f64 {
        (self.left_ms / 3.0).max(0.0)
    }

    /// Returns for how long the request may wait and still end before its caller gives up, in
    /// milliseconds.
    pub(super) fn latest_ms(&self) -> f64 {
        self.left_ms - self.work_ms
    }
}
