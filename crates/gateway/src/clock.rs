//! Clock of an instance. All times except those of log lines come from here.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::Time;
use rustix::time::{ClockId, clock_gettime};

/// Clock of one instance. It counts the time for which the machine was suspended, unlike `Instant`:
/// what the instance knew before is out of date after that.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock. Its time begins at one hour, so that times before the start can be
    /// represented, such as those of crashes that other instances saw.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(self) -> Time {
        const START_US: u64 = 3_600_000_000;
        let elapsed = since_boot().saturating_sub(self.start);
        let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
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

/// Returns the time since the machine was started.
fn since_boot() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}
