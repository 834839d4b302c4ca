//! Hedging: when a request without a response is also sent to a second target.

/// Latest time of the hedge, as a multiple of the expected latency at the first target.
const MAX_DELAY_FACTOR: f64 = 1.8;
/// Earliest time of the hedge, as a multiple of the expected latency. Taken if a later hedge could
/// not respond in time. Before it, most requests without a response just need more processing time.
const MIN_DELAY_FACTOR: f64 = 1.4;
/// Time reserved for the hedge, as a multiple of the route's processing time.
const HEDGE_FACTOR: f64 = 1.2;
/// Shortest delay of a hedge, in milliseconds.
const MIN_DELAY_MS: f64 = 25.0;

/// Returns the time after the first attempt at which the hedge is sent, in milliseconds.
/// `expected_ms` is the expected latency at the first target, `left_ms` the time left of the
/// objective, and `processing_ms` the usual processing time of the route's requests.
#[must_use]
pub fn hedge_delay_ms(expected_ms: f64, left_ms: f64, processing_ms: f64) -> f64 {
    (left_ms - processing_ms * HEDGE_FACTOR)
        .clamp(
            expected_ms * MIN_DELAY_FACTOR,
            expected_ms * MAX_DELAY_FACTOR,
        )
        .max(MIN_DELAY_MS)
}

#[cfg(test)]
mod tests;
