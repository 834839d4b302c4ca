//! Whether the first attempt of a request is sent now, waits for a better target or is refused. Requests
//! and their explanations are decided alike.

use balance::{AdmissionLimits, Ask, LatencyEstimate, Route};

/// Least remaining time for which another attempt is made, as a multiple of the route's processing
/// time.
pub const MIN_REMAINING_FACTOR: f64 = 0.8;
/// Pause before targets are selected again while all probed ones are busy, in milliseconds. Among
/// two dozen targets, a slot becomes free every few milliseconds.
pub const RESELECT_INTERVAL_MS: f64 = 7.0;

/// What the return order says to a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnsAnswer {
    /// What it knows of the request.
    pub ask: Ask,
    /// Whether there is room for the request.
    pub has_room: bool,
    /// Whether its caller was told to return now.
    pub is_expected: bool,
}

/// What is done with a request for which a target was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is sent.
    Admitted,
    /// It waits for a better target, until it has waited `limit_ms` in all.
    Waits {
        /// Longest wait, in milliseconds.
        limit_ms: f64,
    },
    /// It is refused.
    Refused,
}

impl Admission {
    /// Decides on a request that has waited `waited_ms`. `returns` is `None` without a return order.
    pub fn of(
        route: &Route,
        is_urgent: bool,
        returns: Option<&ReturnsAnswer>,
        waited_ms: f64,
        estimate: &LatencyEstimate,
    ) -> Self {
        let is_expected = returns.is_some_and(|r| r.is_expected);
        let has_room = returns.is_none_or(|r| r.has_room);
        let limits = AdmissionLimits::for_route(route, is_urgent || is_expected);
        if has_room && limits.admits(waited_ms, estimate) {
            return Self::Admitted;
        }
        // Others have claimed the room until a later slot.
        let must_return = !has_room && returns.is_some_and(|r| r.ask.kind.can_wait);
        if must_return || waited_ms + RESELECT_INTERVAL_MS > limits.wait_ms {
            return Self::Refused;
        }
        Self::Waits {
            limit_ms: limits.wait_ms,
        }
    }
}

/// Whether the caller has too little time left for the request to be served.
pub fn is_too_late(ask: &Ask) -> bool {
    ask.left_ms < ask.work_ms * MIN_REMAINING_FACTOR
}
