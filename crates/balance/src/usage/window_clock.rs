//! True time from the monotonic clock. Guards against steps of the time of day, which would count
//! requests in other windows and decide windows twice or never.

use model::Time;

/// Time for which a new offset must hold before it is taken, in microseconds.
const HOLD_US: u64 = 60_000_000;
/// Largest difference between two offsets that count as the same, in microseconds. Reading the two
/// clocks one after the other takes up to some milliseconds on a busy machine.
const SAME_US: u64 = 50_000;

/// Converts monotonic time into true time.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    /// True time at the zero of the monotonic clock, in microseconds since the start of 1970.
    offset_us: u64,
    /// Other offset, with the time since which the time of day has had it.
    candidate: Option<(u64, Time)>,
}

impl WindowClock {
    /// Returns a clock that takes the time of day as true.
    #[must_use]
    pub fn new(now: Time, time_of_day_us: u64) -> Self {
        Self {
            offset_us: time_of_day_us.saturating_sub(now.0),
            candidate: None,
        }
    }

    /// Records the time of day. Returns the change in microseconds, if a new offset is taken.
    pub fn record(&mut self, now: Time, time_of_day_us: u64) -> Option<i64> {
        let offset_us = time_of_day_us.saturating_sub(now.0);
        if offset_us.abs_diff(self.offset_us) <= SAME_US {
            self.candidate = None;
            return None;
        }
        let known = self.candidate;
        let Some((held, since)) = known.filter(|(c, _)| c.abs_diff(offset_us) <= SAME_US) else {
            self.candidate = Some((offset_us, now));
            return None;
        };
        if now.since_us(since) < HOLD_US {
            return None;
        }
        let change = held
            .cast_signed()
            .wrapping_sub(self.offset_us.cast_signed());
        self.offset_us = held;
        self.candidate = None;
        Some(change)
    }

    /// Returns the true time at `at`, in microseconds since the start of 1970.
    #[must_use]
    pub fn true_us(&self, at: Time) -> u64 {
        self.offset_us.saturating_add(at.0)
    }
}

#[cfg(test)]
mod tests;
