//! Limit on the log lines of one class: a token bucket that counts what it refuses.

use std::time::Instant;

use crate::line_class::LineClass;

/// Limit on the lines of one class.
#[derive(Debug)]
pub struct LineBudget {
    /// Lines allowed in a second.
    rate: f64,
    /// Most lines at once.
    capacity: f64,
    tokens: f64,
    filled_at: Instant,
    dropped: u64,
}

impl LineBudget {
    /// Returns the full budget of a class, if all classes may write `lines` in a second.
    pub fn new(class: LineClass, lines: u32, now: Instant) -> Self {
        let rate = f64::from(lines) * class.share();
        let capacity = (rate * class.burst_s()).max(1.0);
        Self {
            rate,
            capacity,
            tokens: capacity,
            filled_at: now,
            dropped: 0,
        }
    }

    /// Takes a line from the budget. If there is none left, counts the line as dropped and returns
    /// `false`.
    pub fn take(&mut self, now: Instant) -> bool {
        let filled = now.duration_since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + filled).min(self.capacity);
        self.filled_at = now;
        let has_line = self.tokens >= 1.0;
        if has_line {
            self.tokens -= 1.0;
        } else {
            self.add_dropped(1);
        }
        has_line
    }

    /// Returns the number of dropped lines and sets it to zero.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Counts lines that were dropped for another reason.
    pub fn add_dropped(&mut self, count: u64) {
        self.dropped += count;
    }
}

#[cfg(test)]
mod tests;
