//! The only place that reads clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::Time;

/// Clock of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now, a minute after 0, so that "long ago" can be expressed.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Monotonic time.
    pub fn now(self) -> Time {
        const HEAD_START_US: u64 = 60_000_000;
        let passed = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(passed.saturating_add(HEAD_START_US))
    }

    /// A number that is larger for later processes of the same machine, if its time of day is sound.
    pub fn incarnation() -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
