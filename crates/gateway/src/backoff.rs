//! Growing pauses between tries of a call to the store. Every call is paid for, also while the store is
//! down; what it holds must be in force within 2 s after it answers again.

use std::time::Duration;

use rand::Rng;

/// First pause, in milliseconds.
const FIRST_MS: u64 = 250;
/// Longest pause, in milliseconds.
const MAX_MS: u64 = 700;

/// Pauses of one loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Starts again with the shortest pause.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next pause. Random, so that instances do not all call at the same moment.
    pub fn pause(&mut self) -> Duration {
        let usual = (FIRST_MS << self.failures.min(8)).min(MAX_MS);
        self.failures += 1;
        Duration::from_millis(rand::rng().random_range(usual * 3 / 4..=usual))
    }
}

#[cfg(test)]
mod tests;
