//! Bounds of the durations that operators may state, in milliseconds.

/// Largest target of a class: 10 minutes.
pub const MAX_TARGET_MS: u64 = 600_000;
/// Largest allowed delay of a class: 10 minutes.
pub const MAX_DELAY_MS: u64 = 600_000;
/// Largest time limit of one call: 1 hour.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Time limit of a call whose class states none, as a multiple of the class's target.
const TIMEOUT_FACTOR: u64 = 20;
/// Smallest derived time limit.
const MIN_TIMEOUT_MS: u64 = 1_000;

/// Time limit of a call of a class with `target_ms` that states no limit of its own.
pub(crate) fn default_timeout_ms(target_ms: u64) -> u64 {
    target_ms
        .saturating_mul(TIMEOUT_FACTOR)
        .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
}
