//! Timer of a proposal that this instance is going to make.

use model::Time;

/// Time after which a proposal that the log does not show is made again; doubled with each retry.
const RETRY_MS: u64 = 2_000;
/// Upper bound of the time between retries.
const MAX_RETRY_MS: u64 = 8_000;

/// Time at which a proposal is due, for the first time or as a retry.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryTimer {
    due: Time,
    retry_ms: u64,
}

impl RetryTimer {
    pub(super) const fn new(due: Time) -> Self {
        Self {
            due,
            retry_ms: RETRY_MS,
        }
    }

    pub(super) fn is_due(self, now: Time) -> bool {
        now >= self.due
    }

    /// Schedules the retry of a proposal that is made now.
    pub(super) fn record_attempt(&mut self, now: Time, jitter_ms: u64) {
        self.due = now.plus_ms(self.retry_ms + jitter_ms);
        self.retry_ms = (self.retry_ms * 2).min(MAX_RETRY_MS);
    }
}
