//! Admission control: whether a request is sent to a target, waits for a while, or is refused.
//!
//! A late response earns a tenth of one in time, but costs a target as much. Under overload,
//! requests that would be late are therefore refused, less urgent ones first, so that the others
//! are served in time.

use crate::{LatencyEstimate, Route};

/// Fraction of the objective within which the response to an urgent request must be expected if the
/// request has to queue at its target.
const URGENT_FRACTION: f64 = 1.0;
/// The same fraction for other requests; the rest keeps room for urgent ones.
const OTHER_FRACTION: f64 = 0.7;
/// Fraction of the objective for which a request may wait before it is refused. Callers that are
/// refused early can still retry in time.
const WAIT_FRACTION: f64 = 0.12;

/// Time limits for the admission of requests of one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Longest time that a request may wait for a better target, in milliseconds.
    pub wait_ms: f64,
    /// Longest expected time until the response if the request has to queue, in milliseconds.
    queued_ms: f64,
    /// The same if a slot is expected to be free, in milliseconds.
    unqueued_ms: f64,
}

impl AdmissionLimits {
    /// Returns the limits for requests of `route`. `is_urgent` states that no route is more urgent.
    #[must_use]
    pub fn for_route(route: &Route, is_urgent: bool) -> Self {
        let objective_ms = route.objective_ms as f64;
        let fraction = if is_urgent {
            URGENT_FRACTION
        } else {
            OTHER_FRACTION
        };
        Self {
            wait_ms: objective_ms * WAIT_FRACTION,
            queued_ms: objective_ms * fraction,
            unqueued_ms: route.timeout_ms as f64,
        }
    }

    /// Returns whether a request that has waited `waited_ms` is sent to a target with this
    /// estimate.
    #[must_use]
    pub fn admits(&self, waited_ms: f64, estimate: &LatencyEstimate) -> bool {
        let total_ms = waited_ms + estimate.latency_ms;
        total_ms
            <= if estimate.slot_free {
                self.unqueued_ms
            } else {
                self.queued_ms
            }
    }
}

#[cfg(test)]
mod tests;
