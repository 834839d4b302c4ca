//! Exponential backoff for calls to the store. Every call costs money, also while the store is
//! down, but new records must be in force within 2 s after it responds again.

use std::time::Duration;

use rand::Rng;

/// First pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 250;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 700;

/// Backoff of one loop of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets to the shortest pause after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the next pause. It is randomized, so that instances do not all call at the same
    /// moment.
    pub fn pause(&mut self) -> Duration {
        let longest = (MIN_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        Duration::from_millis(rand::rng().random_range(longest * 3 / 4..=longest))
    }
}

#[cfg(test)]
mod tests;
