//! Calls that one target may run at a time: additive increase, multiplicative decrease between 1 and
//! the declared slots, and a slow start after a cold start.

/// Good responses that raise the limit.
const RAISE_INTERVAL: u32 = 8;
/// Limit of a cold target.
pub(crate) const COLD_LIMIT: u32 = 1;

/// Concurrency limit of a target.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    current: u32,
    max: u32,
    cold: bool,
    successes: u32,
    stale_responses: u32,
}

impl Limit {
    /// Limit of a target that just appeared.
    pub(crate) fn cold(max: u32) -> Self {
        Self {
            current: COLD_LIMIT,
            max: max.max(1),
            cold: max > COLD_LIMIT,
            successes: 0,
            stale_responses: 0,
        }
    }

    /// The limit.
    pub(crate) fn current(&self) -> u32 {
        self.current
    }

    /// Whether the target is being warmed up.
    #[cfg(test)]
    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Changes the declared slots.
    pub(crate) fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.current = self.current.min(self.max);
    }

    /// Takes over the limit of a previous owner.
    pub(crate) fn adopt(&mut self, limit: u32) {
        self.current = limit.clamp(COLD_LIMIT, self.max);
        self.cold = self.current < self.max;
        self.successes = 0;
    }

    /// Back to the cold limit.
    pub(crate) fn reset_to_cold(&mut self) {
        *self = Self::cold(self.max);
    }

    /// Counts a good response; a window of them raises the limit.
    pub(crate) fn record_success(&mut self) {
        self.stale_responses = self.stale_responses.saturating_sub(1);
        self.successes += 1;
        if self.successes < RAISE_INTERVAL {
            return;
        }
        self.successes = 0;
        let more = if self.cold {
            self.current * 2
        } else {
            self.current + 1
        };
        self.current = more.min(self.max);
        self.cold &= self.current < self.max;
    }

    /// Halves the limit. Responses to calls that were in progress at the last cut do not cut again.
    pub(crate) fn decrease(&mut self) {
        self.successes = 0;
        if self.stale_responses > 0 {
            self.stale_responses -= 1;
            return;
        }
        self.stale_responses = self.current.saturating_sub(1);
        self.current = (self.current / 2).max(1);
    }
}

#[cfg(test)]
mod tests;
