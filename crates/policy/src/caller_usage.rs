//! Recent use of the service by each caller, as a base for fairness.

use std::collections::BTreeMap;

use model::Time;

/// Time in which past use loses half its weight, in microseconds.
const HALF_LIFE_US: f64 = 500_000.0;
/// Multiple of the equal share from which a caller goes behind the others.
const OVER: f64 = 2.0;
/// Use below which a caller is forgotten, in microseconds of service time.
const FORGOTTEN_US: f64 = 500.0;

/// Decayed service time by caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerUsage {
    used: BTreeMap<u64, f64>,
    total: f64,
    at: Time,
}

impl CallerUsage {
    /// Adds expected work of a caller.
    pub(crate) fn add(&mut self, caller: u64, work_us: f64) {
        *self.used.entry(caller).or_default() += work_us;
        self.total += work_us;
    }

    /// Whether the caller used more than its fair share.
    #[allow(clippy::cast_precision_loss, reason = "a count of callers")]
    pub(crate) fn exceeds_fair_share(&self, caller: u64) -> bool {
        let used = self.used.get(&caller).copied().unwrap_or(0.0);
        used * self.used.len() as f64 > OVER * self.total
    }

    /// Lets past use fade.
    #[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
    pub(crate) fn decay(&mut self, now: Time) {
        let factor = (-(now.since_us(self.at) as f64) / HALF_LIFE_US).exp2();
        self.at = now;
        self.used.values_mut().for_each(|used| *used *= factor);
        self.used.retain(|_, used| *used > FORGOTTEN_US);
        self.total = self.used.values().sum();
    }
}
