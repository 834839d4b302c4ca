//! Clock of an instance. All times except those of log lines come from here.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::Time;

/// Clock of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock. Its time begins at one hour, so that times before the start can be
    /// represented, such as those of crashes that other instances saw.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(self) -> Time {
        const START_US: u64 = 3_600_000_000;
        let elapsed = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(elapsed.saturating_add(START_US))
    }

    /// Returns the incarnation of this process: the time of day in milliseconds. A later process on
    /// the same machine gets a larger one, unless the time of day was set back.
    pub fn incarnation() -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
