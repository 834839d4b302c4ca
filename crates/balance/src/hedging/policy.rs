//! When a hedge is due and when it is held back. Addresses hedges that are sent before most requests
//! have been answered, too late to help, or while the service has no room for them.

use crate::{HedgeConditions, HoldReason, LatencyWindow};

/// Quantile of the earliest hedge, as a multiple of the share of requests beyond the usual quantile. At
/// most twice as many requests then reach the moment of the hedge.
const EARLIEST_FACTOR: f64 = 2.0;
/// Time reserved for the hedge, as a multiple of the route's processing time.
const RESERVED_FACTOR: f64 = 1.2;
/// Shortest delay of a hedge, in milliseconds. Pauses of the process and of the network are as long.
const MIN_DELAY_MS: f64 = 5.0;

/// Limits that the operator sets for hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Hedges of all instances, as a share of a service's idempotent requests.
    pub share: f64,
    /// Quantile of a route's latencies after which a hedge is due.
    pub quantile: f64,
    /// Mean busy share of the slots of a service above which no hedges are sent.
    pub max_load: f64,
}

impl HedgePolicy {
    /// Returns the time after the first attempt at which the hedge is due, in milliseconds, or `None`
    /// if the route has too few latencies to tell. `left_ms` is the time left of the objective, and
    /// `processing_ms` the usual processing time of the route's requests. The hedge is due earlier than
    /// at the quantile if it could not meet the objective otherwise.
    #[must_use]
    pub fn delay_ms(
        &self,
        latencies: &LatencyWindow,
        left_ms: f64,
        processing_ms: f64,
    ) -> Option<f64> {
        let usual_ms = latencies.quantile_ms(self.quantile)?;
        let earliest = 1.0 - (1.0 - self.quantile) * EARLIEST_FACTOR;
        let earliest_ms = latencies.quantile_ms(earliest.max(0.5))?.min(usual_ms);
        let latest_useful_ms = left_ms - processing_ms * RESERVED_FACTOR;
        let delay_ms = latest_useful_ms.clamp(earliest_ms, usual_ms);
        Some(delay_ms.max(MIN_DELAY_MS))
    }

    /// Returns why a hedge is held back under `conditions`, if it is.
    #[must_use]
    pub fn hold_reason(&self, conditions: &HedgeConditions) -> Option<HoldReason> {
        if conditions.is_suspect {
            return Some(HoldReason::Suspect);
        }
        if conditions.in_rollout {
            return Some(HoldReason::Rollout);
        }
        if conditions.is_limited {
            return Some(HoldReason::Limited);
        }
        // Also holds if the load is not a number.
        let has_room = conditions.load <= self.max_load;
        (!has_room).then_some(HoldReason::Busy)
    }
}
