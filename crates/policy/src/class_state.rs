//! A class with estimates of its service times.

use model::Class;

/// Weight of a new sample in the mean service time.
const MEAN_WEIGHT: f64 = 0.02;
/// Step by which a sample moves a quantile estimate, relative to the estimate.
const QUANTILE_STEP: f64 = 0.03;
/// Number of first samples that use the larger learning step.
const LEARNING_SAMPLES: u32 = 30;
/// Weight in the mean and relative step of the quantiles while learning.
const LEARNING_STEP: f64 = 0.2;
/// Number of samples from which the 95th percentile is available.
const P95_SAMPLES: u32 = 50;
/// Fraction of the latency target that a call of a class without samples is expected to take.
const EXPECTED_FRACTION: f64 = 0.25;

/// A class, its calls in progress and its service times.
#[derive(Clone, Debug)]
pub(crate) struct ClassState {
    /// Configuration of the class.
    pub(crate) class: Class,
    /// Whether the class has a loose latency target, several times the smallest of the service.
    /// Loose calls leave some slots to those of tight classes.
    pub(crate) loose: bool,
    /// Whether slow calls of the class may be hedged.
    pub(crate) hedged: bool,
    /// Number of calls in progress.
    pub(crate) running: u32,
    samples: u32,
    mean: f64,
    median: f64,
    p95: f64,
}

impl ClassState {
    /// Creates the state of a class without samples.
    pub(crate) fn new(class: Class) -> Self {
        let expected = millis(class.target_ms) * EXPECTED_FRACTION;
        Self {
            class,
            loose: false,
            hedged: false,
            running: 0,
            samples: 0,
            mean: expected,
            median: expected,
            p95: 2.0 * expected,
        }
    }

    /// Returns the expected service time in microseconds, a guess as long as there are no samples.
    pub(crate) fn mean_us(&self) -> f64 {
        self.mean.max(1.0)
    }

    /// Returns the measured mean service time in microseconds, or 0 without samples. A guess here
    /// would make admission refuse calls with short deadlines, and without calls it would never be
    /// corrected.
    pub(crate) fn measured_mean_us(&self) -> f64 {
        if self.samples == 0 { 0.0 } else { self.mean }
    }

    /// Returns the estimated 95th percentile of the service time in microseconds, once there are
    /// enough samples.
    // The cast value is a positive number of microseconds.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn p95_us(&self) -> Option<u64> {
        (self.samples >= P95_SAMPLES).then_some(self.p95.max(self.median) as u64)
    }

    /// Returns a service time divided by the median of the class.
    pub(crate) fn median_ratio(&self, service_us: u64) -> f64 {
        micros(service_us) / self.median.max(1.0)
    }

    /// Records the service time of a successful call.
    pub(crate) fn record(&mut self, service_us: u64) {
        let us = micros(service_us).max(1.0);
        if self.samples == 0 {
            (self.mean, self.median, self.p95) = (us, us, 2.0 * us);
        }
        self.samples = self.samples.saturating_add(1);
        let learning = self.samples < LEARNING_SAMPLES;
        let weight = if learning { LEARNING_STEP } else { MEAN_WEIGHT };
        let step = if learning {
            LEARNING_STEP
        } else {
            QUANTILE_STEP
        };
        self.mean += weight * (us - self.mean);
        step_quantile(&mut self.median, us, 0.5, step);
        step_quantile(&mut self.p95, us, 0.95, step);
    }
}

/// Moves a quantile estimate one step towards the quantile `q` of the samples.
fn step_quantile(estimate: &mut f64, sample: f64, q: f64, step: f64) {
    if sample > *estimate {
        *estimate *= 1.0 + step * q;
    } else {
        *estimate *= 1.0 - step * (1.0 - q);
    }
}

#[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
fn micros(us: u64) -> f64 {
    us as f64
}

fn millis(ms: u64) -> f64 {
    micros(ms.saturating_mul(1_000))
}

#[cfg(test)]
mod tests;
