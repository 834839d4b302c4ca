//! Processing time of requests of one kind, normalised to the usual speed of a target.

/// Smallest weight of a new sample. The mean then follows about the last 20 samples, which arrive
/// in less than a second over all routes.
const MIN_WEIGHT: f64 = 0.05;
/// Largest ratio of the slowdowns at the start and at the end of a request. Beyond it, the speed
/// changed at an unknown time during the request, so the sample is ignored.
const MAX_CHANGE: f64 = 1.3;

/// Moving mean of processing times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessingTime {
    mean_ms: f64,
    samples: u32,
}

impl ProcessingTime {
    /// Records a response that took `ms`. `before` and `after` are the target's slowdown in percent
    /// when the request was sent and when the response arrived.
    pub fn record(&mut self, ms: f64, before: u32, after: u32) {
        let (before, after) = (f64::from(before.max(100)), f64::from(after.max(100)));
        if before > after * MAX_CHANGE || after > before * MAX_CHANGE {
            return;
        }
        let usual_ms = ms * 200.0 / (before + after);
        if self.samples == 0 {
            self.mean_ms = usual_ms;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        // Single long requests are normal and must not double the mean.
        let capped_ms = usual_ms.min(self.mean_ms * 4.0);
        self.mean_ms += weight * (capped_ms - self.mean_ms);
    }

    /// Returns the mean processing time at the usual speed, in milliseconds, or `None` without
    /// samples.
    #[must_use]
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean_ms)
    }

    /// Returns the number of recorded samples.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

#[cfg(test)]
mod tests;
