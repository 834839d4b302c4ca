//! A class with what is known of its service times.

use model::Class;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.02;
/// Relative step of the quantile estimates.
const QUANTILE_STEP: f64 = 0.03;
/// Samples during which larger steps are taken.
const LEARNING_SAMPLES: u32 = 30;
/// Relative step while learning.
const LEARNING_STEP: f64 = 0.2;
/// Samples before the 95th percentile is used.
const P95_SAMPLES: u32 = 50;
/// Part of the target that a call of an unmeasured class is expected to take.
const EXPECTED_FRACTION: f64 = 0.25;

/// A class and its service times.
#[derive(Clone, Debug)]
pub(crate) struct ClassState {
    /// The class.
    pub(crate) class: Class,
    /// Whether the last slots are reserved for tighter classes.
    pub(crate) loose: bool,
    /// Whether slow calls of the class may be started a second time.
    pub(crate) hedged: bool,
    /// Calls in progress.
    pub(crate) running: u32,
    samples: u32,
    mean: f64,
    median: f64,
    p95: f64,
}

impl ClassState {
    /// An unmeasured class.
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

    /// Expected service time in microseconds.
    pub(crate) fn mean_us(&self) -> f64 {
        self.mean.max(1.0)
    }

    /// Measured mean service time in microseconds, 0 without samples. A guess must not refuse calls
    /// with short deadlines, since the refused calls would never show the true time.
    pub(crate) fn measured_mean_us(&self) -> f64 {
        if self.samples == 0 { 0.0 } else { self.mean }
    }

    /// Time after which few calls are still in progress, in microseconds, once known.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A positive number of us.
    pub(crate) fn p95_us(&self) -> Option<u64> {
        (self.samples >= P95_SAMPLES).then_some(self.p95.max(self.median) as u64)
    }

    /// Service time over the class's median.
    pub(crate) fn median_ratio(&self, service_us: u64) -> f64 {
        micros(service_us) / self.median.max(1.0)
    }

    /// Takes the service time of a good call.
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

/// Moves a quantile estimate towards the quantile `q` of the samples.
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
