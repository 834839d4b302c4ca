//! Whether a target fails, and when it may be tried again.

use model::Time;

/// Consecutive failures that eject a target.
const FAILURES: u32 = 3;
/// First ejection in milliseconds, before jitter.
const BACKOFF_MS: u64 = 500;
/// Longest ejection in milliseconds, before jitter.
const MAX_BACKOFF_MS: u64 = 16_000;

/// Failures of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Time>,
}

impl Health {
    /// Counts a good response. Returns whether the target was out.
    pub(crate) fn record_success(&mut self) -> bool {
        self.failures = 0;
        let was_out = self.until.take().is_some();
        if !was_out {
            self.ejections = 0;
        }
        was_out
    }

    /// Counts a failure. `jitter` is in 0..1.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    #[allow(clippy::cast_sign_loss, reason = "a positive number of milliseconds")]
    pub(crate) fn record_failure(&mut self, now: Time, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        let out = self.until.is_some_and(|until| now < until);
        if self.failures < FAILURES || out {
            return;
        }
        let base = (BACKOFF_MS << self.ejections.min(8)).min(MAX_BACKOFF_MS);
        let wait = base as f64 * (0.5 + jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.until = Some(now.plus_ms(wait as u64));
    }

    /// Whether the target looks bad: it is ejected or awaits its trial call.
    pub(crate) fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Calls that the target may run at a time as far as its health goes.
    pub(crate) fn max_calls(&self, now: Time) -> u32 {
        match self.until {
            None => u32::MAX,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }
}

#[cfg(test)]
mod tests;
