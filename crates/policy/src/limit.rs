//! Limit of concurrent calls on one target: additive increase and multiplicative decrease between 1
//! and the declared slots, with slow start (doubling) while the target is cold.

/// Number of good responses after which the limit rises.
const RAISE_INTERVAL: u32 = 8;
/// Limit of a cold target.
pub(crate) const COLD_LIMIT: u32 = 1;

/// Concurrency limit of a target.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// The limit.
    current: u32,
    /// Declared slots, which the limit does not exceed.
    max: u32,
    /// Whether the limit doubles instead of rising by one.
    cold: bool,
    /// Good responses since the last change of the limit.
    successes: u32,
    /// Responses expected to calls that started before the last decrease.
    stale_responses: u32,
}

impl Limit {
    /// Creates the limit of a cold target that declares `max` slots.
    pub(crate) fn cold(max: u32) -> Self {
        Self {
            current: COLD_LIMIT,
            max: max.max(1),
            cold: max > COLD_LIMIT,
            successes: 0,
            stale_responses: 0,
        }
    }

    /// Returns the current limit.
    pub(crate) fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether the target is still in slow start.
    #[cfg(test)]
    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Sets the declared slots, and lowers the limit to them if it is larger.
    pub(crate) fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.current = self.current.min(self.max);
    }

    /// Adopts the limit of a previous owner. Below the declared slots, slow start continues.
    pub(crate) fn adopt(&mut self, limit: u32) {
        self.current = limit.clamp(COLD_LIMIT, self.max);
        self.cold = self.current < self.max;
        self.successes = 0;
    }

    /// Resets the limit to that of a cold target.
    pub(crate) fn reset_to_cold(&mut self) {
        *self = Self::cold(self.max);
    }

    /// Records a good response. Every [`RAISE_INTERVAL`] of them raise the limit.
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

    /// Halves the limit. Responses to calls that were in progress at the last decrease have no
    /// further effect.
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
