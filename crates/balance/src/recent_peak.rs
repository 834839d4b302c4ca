//! Largest value of the last seconds, for figures whose short peaks matter, such as delays.

use model::Time;

/// Time for which a value counts at least, in milliseconds; at most it is twice as long.
const WINDOW_MS: u64 = 1_000;

/// Largest value of the current and of the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentPeak {
    started: Time,
    current: u64,
    previous: u64,
}

impl RecentPeak {
    /// Records a value.
    pub fn record(&mut self, value: u64, now: Time) {
        let age_ms = now.since_us(self.started) / 1_000;
        if age_ms >= WINDOW_MS {
            self.previous = if age_ms < 2 * WINDOW_MS {
                self.current
            } else {
                0
            };
            (self.current, self.started) = (0, now);
        }
        self.current = self.current.max(value);
    }

    /// Returns the largest value that was recorded in the last one to two seconds.
    #[must_use]
    pub fn value(&self, now: Time) -> u64 {
        match now.since_us(self.started) / 1_000 {
            0..WINDOW_MS => self.current.max(self.previous),
            age_ms if age_ms < 2 * WINDOW_MS => self.current,
            _ => 0,
        }
    }
}

#[cfg(test)]
mod tests;
