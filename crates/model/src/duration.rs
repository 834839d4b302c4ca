//! Limits of the durations in a configuration, in milliseconds.

/// Largest target time of a class: 10 minutes.
pub const MAX_TARGET_MS: u64 = 600_000;
/// Largest allowed delay of a class: 10 minutes.
pub const MAX_DELAY_MS: u64 = 600_000;
/// Largest time limit of one call: 1 hour.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Time limit of a call whose class sets none, as a multiple of the class's target time.
const TIMEOUT_FACTOR: u64 = 20;
/// Smallest derived time limit, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 1_000;

/// Returns the time limit of calls of a class with target time `target_ms` that sets no limit.
pub(crate) fn default_timeout_ms(target_ms: u64) -> u64 {
    target_ms
        .saturating_mul(TIMEOUT_FACTOR)
        .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
}
