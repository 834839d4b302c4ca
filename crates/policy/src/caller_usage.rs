//! Recent use of the service by each caller, on which fair sharing is based.

use std::collections::BTreeMap;

use model::Time;

/// Time in microseconds after which past use has half its weight.
const HALF_LIFE_US: f64 = 500_000.0;
/// Multiple of an equal share above which the calls of a caller wait behind those of others.
const FAIR_SHARE_FACTOR: f64 = 2.0;
/// Use below which a caller is forgotten, in microseconds of service time.
const MIN_USED_US: f64 = 500.0;

/// Service time used by each caller, which decays exponentially.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerUsage {
    used: BTreeMap<u64, f64>,
    total: f64,
    decayed_at: Time,
}

impl CallerUsage {
    /// Adds the expected service time of a call to its caller's use.
    pub(crate) fn add(&mut self, caller: u64, work_us: f64) {
        *self.used.entry(caller).or_default() += work_us;
        self.total += work_us;
    }

    /// Returns whether the caller recently used more than its fair share.
    #[allow(clippy::cast_precision_loss, reason = "a count of callers")]
    pub(crate) fn exceeds_fair_share(&self, caller: u64) -> bool {
        let used = self.used.get(&caller).copied().unwrap_or(0.0);
        used * self.used.len() as f64 > FAIR_SHARE_FACTOR * self.total
    }

    /// Decays past use up to `now` and forgets callers with hardly any use left.
    #[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
    pub(crate) fn decay(&mut self, now: Time) {
        let factor = (-(now.since_us(self.decayed_at) as f64) / HALF_LIFE_US).exp2();
        self.decayed_at = now;
        self.used.values_mut().for_each(|used| *used *= factor);
        self.used.retain(|_, used| *used > MIN_USED_US);
        self.total = self.used.values().sum();
    }
}
