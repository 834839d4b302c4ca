//! When a request that was not answered yet is also sent to a second target.

/// Times the expected time after which a second send is made in any case.
const LATEST: f64 = 1.8;
/// The same if a second send could not end in time otherwise. Earlier ones are mostly for requests that
/// just have more work.
const EARLIEST: f64 = 1.4;
/// Time that the second send needs, as a part of the route's work time.
const SECOND_PART: f64 = 1.2;
/// Shortest wait, in milliseconds.
const MIN_MS: f64 = 25.0;

/// Wait before a second send, in milliseconds. `expected_ms`: what the first target was expected to take;
/// `left_ms`: what is left of the objective; `work_ms`: what the route's requests usually take.
#[must_use]
pub fn hedge_delay_ms(expected_ms: f64, left_ms: f64, work_ms: f64) -> f64 {
    (left_ms - work_ms * SECOND_PART)
        .clamp(expected_ms * EARLIEST, expected_ms * LATEST)
        .max(MIN_MS)
}

#[cfg(test)]
mod tests;
