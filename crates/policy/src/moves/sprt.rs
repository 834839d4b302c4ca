//! Sequential probability ratio test (SPRT) that starts again after each acceptance.
//!
//! Over a long good period, a single test would collect so much weight for the baseline rate that a
//! later fault took as many calls to find as the period was long. The test therefore starts a new
//! run after each acceptance. Each run can raise a false alarm, so run `k` gets the fraction
//! 6 / (pi^2 k^2) of `alpha`. By Ville's inequality the probability of a false alarm over all runs
//! stays below `alpha`, and the alarm threshold grows only with the logarithm of the runs.

/// Probability, for each run, of accepting a version that has the alternative rate.
const BETA: f64 = 0.01;
/// Logarithm of pi^2 / 6, the sum of 1 / k^2 over all runs k.
const LN_SUM_OF_RUN_FRACTIONS: f64 = 0.497_7;
/// Bad calls below which a run raises no alarm. A crash of one target may fail two calls at once,
/// and such calls are not independent.
const MIN_BAD_CALLS: u64 = 3;

/// What a run of the test has decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The run needs more calls.
    Undecided,
    /// The run found the baseline rate, and the next run has started.
    Accepted,
    /// The run found the alternative rate.
    Alarm,
}

/// State of the test of one rate.
#[derive(Clone, Debug)]
pub(crate) struct Sprt {
    /// Logarithm of the likelihood ratio of the alternative to the baseline in this run.
    log_ratio: f64,
    /// Number of this run, from 1.
    run: u32,
    /// Bad calls in this run.
    bad_calls: u64,
}

impl Default for Sprt {
    fn default() -> Self {
        Self {
            log_ratio: 0.0,
            run: 1,
            bad_calls: 0,
        }
    }
}

impl Sprt {
    /// Adds counts and decides between two rates, of which the baseline is the lower one. `alpha` is
    /// the probability of a false alarm over all runs.
    pub(crate) fn add(
        &mut self,
        (bad_calls, calls): (u64, u64),
        (baseline, alternative): (f64, f64),
        alpha: f64,
    ) -> Decision {
        self.bad_calls = self.bad_calls.saturating_add(bad_calls);
        let bad = as_f64(bad_calls);
        let good = as_f64(calls) - bad;
        self.log_ratio += bad * (alternative / baseline).ln()
            + good * ((1.0 - alternative) / (1.0 - baseline)).ln();
        if self.log_ratio >= self.alarm_threshold(alpha) && self.bad_calls >= MIN_BAD_CALLS {
            return Decision::Alarm;
        }
        if self.log_ratio > BETA.ln() {
            return Decision::Undecided;
        }
        self.log_ratio = 0.0;
        self.bad_calls = 0;
        self.run = self.run.saturating_add(1);
        Decision::Accepted
    }

    /// Returns whether the counts of this run are at least twenty times likelier under the
    /// alternative rate than under the baseline.
    pub(crate) fn suspects_fault(&self) -> bool {
        const LN_TWENTY: f64 = 3.0;
        self.log_ratio >= LN_TWENTY
    }

    /// Returns the logarithm of the likelihood ratio at which this run raises an alarm.
    fn alarm_threshold(&self, alpha: f64) -> f64 {
        LN_SUM_OF_RUN_FRACTIONS - alpha.ln() + 2.0 * f64::from(self.run).ln()
    }
}

/// Converts a counter to floating point.
#[allow(clippy::cast_precision_loss, reason = "counters stay far below 2^52")]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
