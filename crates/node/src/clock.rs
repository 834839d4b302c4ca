//! The only place that reads clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::{Time, Wall};

/// Clock of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose time is 0 now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start of the clock.
    pub fn now(self) -> Time {
        Time(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time.
    pub fn wall() -> Wall {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
