//! Whether a request is sent to a target, waits a little, or is refused.
//!
//! A late response earns a tenth, but takes as much of a target as one in time. Under overload, requests
//! that would be late are refused, less urgent ones first, so that the others are served in time.

use crate::{LatencyEstimate, Route};

/// Part of the objective within which an urgent request must be expected to be answered if it queues.
const URGENT_PART: f64 = 1.0;
/// The same for other requests; what is left keeps room for urgent ones.
const OTHER_PART: f64 = 0.7;
/// Part of the objective for which a request may be held before it is refused. Callers that are told
/// early can come back in time.
const HOLD_PART: f64 = 0.12;

/// Limits for the requests of one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Time for which a request may wait for a better target, in milliseconds.
    pub wait_ms: f64,
    queue_ms: f64,
    total_ms: f64,
}

impl AdmissionLimits {
    /// Limits for requests of `route`.
    #[must_use]
    pub fn for_route(route: &Route, is_urgent: bool) -> Self {
        let aim_ms = route.objective_ms as f64;
        let part = if is_urgent { URGENT_PART } else { OTHER_PART };
        Self {
            wait_ms: aim_ms * HOLD_PART,
            queue_ms: aim_ms * part,
            total_ms: route.timeout_ms as f64,
        }
    }

    /// Whether a request that waited `waited_ms` is sent to a target with this outlook.
    #[must_use]
    pub fn admits(&self, waited_ms: f64, outlook: &LatencyEstimate) -> bool {
        let total = waited_ms + outlook.latency_ms;
        total
            <= if outlook.slot_free {
                self.total_ms
            } else {
                self.queue_ms
            }
    }
}

#[cfg(test)]
mod tests;
