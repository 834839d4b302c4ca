//! Ejects a target after repeated failures and decides when it gets a probe call.

use model::Time;

/// Consecutive failures that eject a target.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection in milliseconds, before jitter. It doubles with each further one.
const BACKOFF_MS: u64 = 500;
/// Longest duration of an ejection in milliseconds, before jitter.
const MAX_BACKOFF_MS: u64 = 16_000;

/// Consecutive failures and ejections of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    /// End of the last ejection. Set until a call ends well.
    ejected_until: Option<Time>,
}

impl Health {
    /// Records a call that ended well. Returns whether the target was ejected.
    pub(crate) fn record_success(&mut self) -> bool {
        self.failures = 0;
        let was_ejected = self.ejected_until.take().is_some();
        if !was_ejected {
            self.ejections = 0;
        }
        was_ejected
    }

    /// Records a failure, which may eject the target. `jitter` is a random number in 0..1.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    #[allow(clippy::cast_sign_loss, reason = "a positive number of milliseconds")]
    pub(crate) fn record_failure(&mut self, now: Time, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.failures < EJECTION_FAILURES || ejected {
            return;
        }
        let base = (BACKOFF_MS << self.ejections.min(8)).min(MAX_BACKOFF_MS);
        let wait = base as f64 * (0.5 + jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now.plus_ms(wait as u64));
    }

    /// Returns whether the target is ejected, or no call has ended well since its ejection ended.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns how many calls the target may run at a time: none while it is ejected, and one after
    /// that until a call ends well.
    pub(crate) fn max_calls(&self, now: Time) -> u32 {
        match self.ejected_until {
            None => u32::MAX,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }
}

#[cfg(test)]
mod tests;
