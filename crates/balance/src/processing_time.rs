//! How long requests of one kind take at the usual pace of a target.

/// Weight of a new sample once there are many. About 20 samples decide, which is under a second over all
/// routes.
const GAIN: f64 = 0.05;
/// Largest ratio of the paces at the start and the end of a request. Beyond it, the pace changed on the
/// way, and it is not known when.
const STEADY: f64 = 1.3;

/// A moving mean of work times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessingTime {
    mean: f64,
    samples: u32,
}

impl ProcessingTime {
    /// Takes in a response that took `ms` at a target whose pace was `before` percent when the request was
    /// sent, and `after` percent when the response came.
    pub fn record(&mut self, ms: f64, before: u32, after: u32) {
        let (before, after) = (f64::from(before.max(100)), f64::from(after.max(100)));
        if before > after * STEADY || after > before * STEADY {
            return;
        }
        let usual = ms * 200.0 / (before + after);
        if self.samples == 0 {
            self.mean = usual;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN);
        // Single long requests are normal; they must not double the mean.
        let capped = usual.min(self.mean * 4.0);
        self.mean += gain * (capped - self.mean);
    }

    /// Expected time at the usual pace, in milliseconds, if there were samples.
    #[must_use]
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Number of samples.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

#[cfg(test)]
mod tests;
