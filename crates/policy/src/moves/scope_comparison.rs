//! Compares the versions in one scope: the whole service or one route.

use std::collections::VecDeque;

use wire::RouteCounts;

use super::{
    rate_test::{RateTest, Rates},
    sprt::as_f64,
};

/// Observations of the old version from which its rates are computed. Only observations with calls
/// are kept, so the rates stay available after the old version has received its last call.
const WINDOW_OBSERVATIONS: usize = 64;
/// Numbers of last observations whose rates are computed as well. A disturbance of both versions
/// shows first in the last observation; where that has few calls, four together are more reliable.
const RECENT_OBSERVATIONS: [usize; 2] = [1, 4];
/// Calls of the old version below which the versions are not compared.
const MIN_OLD_CALLS: u64 = 30;
/// Calls below which the rate of the last observations is ignored.
const MIN_RECENT_CALLS: u64 = 20;
/// Standard deviations that are added to the old version's rates, because these are estimates.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Factor on remembered rates while the old version receives no calls.
const REMEMBERED_FACTOR: f64 = 1.5;
/// Lowest rate of errors assumed for the old version, even if it had fewer so far.
const MIN_ERROR_RATE: f64 = 0.002;
/// Lowest rate of slow calls assumed for the old version, even if it had fewer so far.
const MIN_SLOW_RATE: f64 = 0.05;
/// Rate of errors below which a version is never found bad.
const BAD_ERROR_RATE: f64 = 0.05;
/// Rate of slow calls below which a version is never found bad.
const BAD_SLOW_RATE: f64 = 0.25;
/// Rate of the old version below which a rise is taken for chance.
const MIN_DISTURBED_RATE: f64 = 0.05;
/// Calls of the old version below which a rise is taken for chance.
const MIN_DISTURBED_CALLS: u64 = 50;
/// Factor on the old version's rate over the window from which a recent rate is a disturbance. An
/// old version that is bad all the time is not disturbed, so that an operator can move away from it.
const DISTURBED_FACTOR: f64 = 2.0;
/// Lowest rate of errors of a gross fault.
const GROSS_ERROR_RATE: f64 = 0.5;
/// Lowest rate of slow calls of a gross fault.
const GROSS_SLOW_RATE: f64 = 0.7;
/// Factor on the old version's rate from which the new version is bad.
const BAD_FACTOR: f64 = 3.0;
/// Highest rate to which [`BAD_FACTOR`] applies. Above it, the rate of a bad version lies halfway
/// between the old version's and 1.
const MAX_FACTOR_RATE: f64 = 0.9;
/// Highest rate assumed for the old version; above it, no worse version can be told from it.
const MAX_BASELINE_RATE: f64 = 0.98;

/// Reads the bad calls of one kind, errors or slow calls, from counters.
type BadCalls = fn(&RouteCounts) -> u64;

/// Calls of the old version, and the tests of the new version's errors and slow calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScopeComparison {
    /// Last observations of the old version that had calls, oldest first.
    window: VecDeque<RouteCounts>,
    /// Whether the old version received no call in the last observation.
    old_idle: bool,
    errors: RateTest,
    slow: RateTest,
    /// Calls of the new version that were compared at the current share.
    new_calls: u64,
}

impl ScopeComparison {
    /// Begins a new share: calls and acceptances count from zero, and the tests keep their state.
    pub(crate) fn begin_share(&mut self) {
        self.errors.reset_acceptance();
        self.slow.reset_acceptance();
        self.new_calls = 0;
    }

    /// Adds the calls since the last observation. `min_rates` are lower bounds of the old version's
    /// rates of errors and slow calls that are known from elsewhere. Returns the name of the test
    /// that found a fault, if any.
    pub(crate) fn observe(
        &mut self,
        old: RouteCounts,
        new: &RouteCounts,
        alpha: f64,
        min_rates: [f64; 2],
    ) -> Option<&'static str> {
        self.add_to_window(old);
        let old_calls: u64 = self.window.iter().map(|c| c.calls).sum();
        if new.calls == 0 || old_calls < MIN_OLD_CALLS {
            return None;
        }
        self.new_calls += new.calls;
        let baseline = self.baseline_rate(errors, min_rates[0].max(MIN_ERROR_RATE));
        let rates = rates_to_test(baseline, BAD_ERROR_RATE, GROSS_ERROR_RATE);
        if self.errors.add((new.errors, new.calls), rates, alpha) {
            return Some("errors");
        }
        let baseline = self.baseline_rate(slow, min_rates[1].max(MIN_SLOW_RATE));
        let rates = rates_to_test(baseline, BAD_SLOW_RATE, GROSS_SLOW_RATE);
        let found = self.slow.add((new.slow, new.calls), rates, alpha);
        found.then_some("slow")
    }

    /// Returns whether both tests accepted the version at this share and at least `min_calls` of its
    /// calls were compared.
    pub(crate) fn is_accepted(&self, min_calls: u64) -> bool {
        self.errors.is_accepted() && self.slow.is_accepted() && self.new_calls >= min_calls
    }

    /// Returns whether either test favours a fault without being certain.
    pub(crate) fn suspects_fault(&self) -> bool {
        self.errors.suspects_fault() || self.slow.suspects_fault()
    }

    fn add_to_window(&mut self, old: RouteCounts) {
        self.old_idle = old.calls == 0;
        if self.old_idle {
            return;
        }
        self.window.push_back(old);
        if self.window.len() > WINDOW_OBSERVATIONS {
            self.window.pop_front();
        }
    }

    /// Returns whether the old version still receives calls and one of its rates has just risen far
    /// above its usual value.
    pub(crate) fn is_disturbed(&self) -> bool {
        !self.old_idle && self.disturbed_rates().iter().any(|rate| *rate > 0.0)
    }

    /// Returns the old version's rates of errors and slow calls, each 0 if that rate is not
    /// disturbed.
    pub(crate) fn disturbed_rates(&self) -> [f64; 2] {
        [errors, slow].map(|bad_calls| self.disturbed_rate(bad_calls, MIN_DISTURBED_RATE))
    }

    /// Returns the old version's rate, which is at least `min_rate`. The rate of the last
    /// observations gets a margin only in a disturbance: at other times a margin on so few calls
    /// would hide faults.
    fn baseline_rate(&self, bad_calls: BadCalls, min_rate: f64) -> f64 {
        let recent = RECENT_OBSERVATIONS.map(|count| match self.sum_last(count, bad_calls) {
            (_, calls) if calls < MIN_RECENT_CALLS => 0.0,
            sum => rate(sum),
        });
        let window = rate_with_margin(self.sum_last(WINDOW_OBSERVATIONS, bad_calls));
        let disturbed = self.disturbed_rate(bad_calls, min_rate.max(MIN_DISTURBED_RATE));
        let measured = recent.into_iter().fold(window.max(disturbed), f64::max);
        let receives_calls = self.window.back().is_some_and(|c| c.calls > 0);
        let measured = if receives_calls {
            measured
        } else {
            measured * REMEMBERED_FACTOR
        };
        measured.clamp(min_rate, MAX_BASELINE_RATE)
    }

    /// Returns the old version's recent rate, with a margin, if it is at least `min_rate` and
    /// [`DISTURBED_FACTOR`] times the rate over the whole window. Returns 0 otherwise.
    fn disturbed_rate(&self, bad_calls: BadCalls, min_rate: f64) -> f64 {
        let usual = rate(self.sum_last(WINDOW_OBSERVATIONS, bad_calls));
        let disturbed_rate = |count| {
            let sum = self.sum_last(count, bad_calls);
            let recent = rate(sum);
            let risen = recent >= min_rate && recent >= DISTURBED_FACTOR * usual;
            let disturbed = sum.1 >= MIN_DISTURBED_CALLS && risen;
            if disturbed {
                rate_with_margin(sum)
            } else {
                0.0
            }
        };
        RECENT_OBSERVATIONS
            .map(disturbed_rate)
            .into_iter()
            .fold(0.0, f64::max)
    }

    /// Returns the bad calls and all calls of the old version over its last `count` observations.
    fn sum_last(&self, count: usize, bad_calls: BadCalls) -> (u64, u64) {
        let last = self.window.iter().rev().take(count);
        last.fold((0, 0), |(bad, all), c| (bad + bad_calls(c), all + c.calls))
    }
}

/// Returns the rates to test for where the old version has the rate `baseline`.
fn rates_to_test(baseline: f64, min_mild: f64, min_gross: f64) -> Rates {
    let mild = min_mild.max(baseline * BAD_FACTOR);
    let mild = if mild <= MAX_FACTOR_RATE {
        mild
    } else {
        f64::midpoint(baseline, 1.0)
    };
    let gross = min_gross.max(f64::midpoint(mild, 1.0));
    Rates {
        baseline,
        mild,
        gross,
    }
}

fn errors(counts: &RouteCounts) -> u64 {
    counts.errors
}

fn slow(counts: &RouteCounts) -> u64 {
    counts.slow
}

fn rate((bad_calls, calls): (u64, u64)) -> f64 {
    as_f64(bad_calls) / as_f64(calls.max(1))
}

/// Returns the rate plus [`MARGIN_DEVIATIONS`] standard deviations of its estimate.
fn rate_with_margin((bad_calls, calls): (u64, u64)) -> f64 {
    let calls = as_f64(calls);
    let rate = (as_f64(bad_calls) + 0.5) / (calls + 1.0);
    rate + MARGIN_DEVIATIONS * (rate * (1.0 - rate) / calls).sqrt()
}
