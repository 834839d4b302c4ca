//! How long requests of a route take at the usual pace of a target.

/// Weight of a new sample. About 20 samples decide, which is under a second over all routes.
const GAIN: f64 = 0.05;
/// Assumed before the first sample, in milliseconds; the brief's calls take 36 to 120 ms.
const FIRST_MS: f64 = 80.0;

/// A moving mean of work times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    mean: Option<f64>,
}

impl Work {
    /// Takes in a response that took `ms` at a target of `pace` percent.
    pub fn note(&mut self, ms: f64, pace: u32) {
        let usual = ms * 100.0 / f64::from(pace.max(100));
        let mean = self.mean.unwrap_or(usual);
        // Single long requests are normal; they must not double the mean.
        let capped = usual.min(mean * 4.0);
        self.mean = Some(mean + GAIN * (capped - mean));
    }

    /// Expected time at the usual pace, in milliseconds.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.mean.unwrap_or(FIRST_MS)
    }

    /// Whether there were samples.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.mean.is_some()
    }
}

#[cfg(test)]
mod tests;
