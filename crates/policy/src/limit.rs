//! Calls that one target may run at a time: additive increase, multiplicative decrease between 1 and
//! the declared slots, and a slow start after a cold start.

/// Good responses that raise the limit.
const WINDOW: u32 = 8;
/// Limit of a cold target.
pub(crate) const COLD_LIMIT: u32 = 1;

/// Concurrency limit of a target.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    now: u32,
    most: u32,
    cold: bool,
    good: u32,
    quiet: u32,
}

impl Limit {
    /// Limit of a target that just appeared.
    pub(crate) fn cold(most: u32) -> Self {
        Self {
            now: COLD_LIMIT,
            most: most.max(1),
            cold: most > COLD_LIMIT,
            good: 0,
            quiet: 0,
        }
    }

    /// The limit.
    pub(crate) fn now(&self) -> u32 {
        self.now
    }

    /// Whether the target is being warmed up.
    #[cfg(test)]
    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Changes the declared slots.
    pub(crate) fn set_most(&mut self, most: u32) {
        self.most = most.max(1);
        self.now = self.now.min(self.most);
    }

    /// Takes over the limit of a previous owner.
    pub(crate) fn adopt(&mut self, limit: u32) {
        self.now = limit.clamp(COLD_LIMIT, self.most);
        self.cold = self.now < self.most;
        self.good = 0;
    }

    /// Back to the cold limit.
    pub(crate) fn chill(&mut self) {
        *self = Self::cold(self.most);
    }

    /// Counts a good response; a window of them raises the limit.
    pub(crate) fn good(&mut self) {
        self.quiet = self.quiet.saturating_sub(1);
        self.good += 1;
        if self.good < WINDOW {
            return;
        }
        self.good = 0;
        let more = if self.cold {
            self.now * 2
        } else {
            self.now + 1
        };
        self.now = more.min(self.most);
        self.cold &= self.now < self.most;
    }

    /// Halves the limit. Responses to calls that were in progress at the last cut do not cut again.
    pub(crate) fn cut(&mut self) {
        self.good = 0;
        if self.quiet > 0 {
            self.quiet -= 1;
            return;
        }
        self.quiet = self.now.saturating_sub(1);
        self.now = (self.now / 2).max(1);
    }
}

#[cfg(test)]
mod tests;
