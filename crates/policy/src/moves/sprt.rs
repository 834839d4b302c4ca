//! A sequential probability ratio test that starts again after each acceptance.
//!
//! A single test over the whole move would collect so much credit from a good start that a late
//! fault took as many calls to find as the good history was long. The test therefore starts again
//! whenever it accepts. Restarts add chances of a false alarm, so run
//! `k` gets the share 6 / (pi^2 k^2) of `alpha`: by Ville's inequality the chance of a false alarm
//! over all runs stays below `alpha`, and the bound grows only with the logarithm of the runs.

/// Chance of accepting a version that is as bad as the alternative states, for each run.
const BETA: f64 = 0.01;
/// Logarithm of pi^2 / 6, the sum of 1 / k^2.
const LN_RUN_SHARES: f64 = 0.497_7;
/// Hits without which there is no alarm: a crash of one target may fail two calls at once, and such
/// calls are not independent.
const MIN_HITS: u64 = 3;

/// What a run of the test decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Open,
    Accepted,
    Alarm,
}

/// One test: how much likelier the counts are under the alternative, as a logarithm.
#[derive(Clone, Debug)]
pub(crate) struct Sprt {
    sum: f64,
    run: u32,
    hits: u64,
}

impl Default for Sprt {
    fn default() -> Self {
        Self {
            sum: 0.0,
            run: 1,
            hits: 0,
        }
    }
}

impl Sprt {
    /// Adds `hits` of `calls` and decides between the rates `good` and `bad`, `good` < `bad`.
    pub(crate) fn add(
        &mut self,
        (hits, calls): (u64, u64),
        (good, bad): (f64, f64),
        alpha: f64,
    ) -> Decision {
        self.hits = self.hits.saturating_add(hits);
        let hits = as_f64(hits);
        let misses = as_f64(calls) - hits;
        self.sum += hits * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln();
        if self.sum >= self.bound(alpha) && self.hits >= MIN_HITS {
            return Decision::Alarm;
        }
        if self.sum > BETA.ln() {
            return Decision::Open;
        }
        self.sum = 0.0;
        self.hits = 0;
        self.run = self.run.saturating_add(1);
        Decision::Accepted
    }

    /// Whether the counts since the last acceptance favour the alternative clearly.
    pub(crate) fn is_suspicious(&self) -> bool {
        const LN_TWENTY: f64 = 3.0;
        self.sum >= LN_TWENTY
    }

    fn bound(&self, alpha: f64) -> f64 {
        LN_RUN_SHARES - alpha.ln() + 2.0 * f64::from(self.run).ln()
    }
}

/// Counters stay far below 2^52.
#[allow(clippy::cast_precision_loss, reason = "counters stay far below 2^52")]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
