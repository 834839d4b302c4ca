//! The tests of one line of comparison: the whole service or one route.

use std::collections::VecDeque;

use wire::RouteCounts;

use super::{
    check::{Check, Rates},
    sprt::as_f64,
};

/// Observations of the old version that its rates are taken from. Only observations with calls
/// count, so the rates stay available when the old version no longer receives calls.
const WINDOW: usize = 64;
/// Last observations that are also looked at alone, so that a disturbance of both versions is seen
/// as one at once.
const RECENT: usize = 4;
/// Calls of the old version without which there is nothing to compare with.
const MIN_OLD_CALLS: u64 = 30;
/// Calls below which the last observations say nothing.
const MIN_RECENT_CALLS: u64 = 20;
/// Standard deviations added to the old version's measured rates, because they are estimates.
const MARGIN: f64 = 2.0;
/// Widening of remembered rates while the old version receives no calls.
const REMEMBERED: f64 = 1.5;
/// Rates below which the old version is not trusted to stay.
const MIN_ERROR_RATE: f64 = 0.002;
const MIN_SLOW_RATE: f64 = 0.05;
/// Rates below which a version is never called bad.
const BAD_ERROR_RATE: f64 = 0.05;
const BAD_SLOW_RATE: f64 = 0.25;
/// Rates of gross faults.
const GROSS_ERROR_RATE: f64 = 0.5;
const GROSS_SLOW_RATE: f64 = 0.7;
/// A version is bad when its rate is this multiple of the old one's.
const BAD_FACTOR: f64 = 3.0;
const MAX_FACTOR_RATE: f64 = 0.9;
/// Rate above which the old version cannot be told from a worse one.
const MAX_RATE: f64 = 0.98;

/// State of the two tests, for errors and for slowness.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    window: VecDeque<RouteCounts>,
    errors: Check,
    slow: Check,
    calls: u64,
}

impl Line {
    /// Starts the count of evidence at a new share. The tests themselves go on.
    pub(crate) fn restart(&mut self) {
        self.errors.restart();
        self.slow.restart();
        self.calls = 0;
    }

    /// Adds the calls since the last observation. `Some` names the test that found a fault.
    pub(crate) fn observe(
        &mut self,
        old: RouteCounts,
        new: &RouteCounts,
        alpha: f64,
    ) -> Option<&'static str> {
        self.remember(old);
        let old_calls: u64 = self.window.iter().map(|c| c.calls).sum();
        if new.calls == 0 || old_calls < MIN_OLD_CALLS {
            return None;
        }
        self.calls += new.calls;
        let fresh = self.window.back().is_some_and(|c| c.calls > 0);
        let good = self.old_rate(|c| c.errors, MIN_ERROR_RATE, fresh);
        let rates = bad_rates(good, BAD_ERROR_RATE, GROSS_ERROR_RATE);
        if self.errors.add((new.errors, new.calls), rates, alpha) {
            return Some("errors");
        }
        let good = self.old_rate(|c| c.slow, MIN_SLOW_RATE, fresh);
        let rates = bad_rates(good, BAD_SLOW_RATE, GROSS_SLOW_RATE);
        let slow = self.slow.add((new.slow, new.calls), rates, alpha);
        slow.then_some("slow")
    }

    /// Whether both checks accepted the version at this share, on at least `calls` calls.
    pub(crate) fn is_accepted(&self, calls: u64) -> bool {
        self.errors.is_accepted() && self.slow.is_accepted() && self.calls >= calls
    }

    /// Whether either test leans towards a fault.
    pub(crate) fn is_suspicious(&self) -> bool {
        self.errors.is_suspicious() || self.slow.is_suspicious()
    }

    /// An observation without calls is kept once, as the mark that the rates are remembered ones.
    fn remember(&mut self, old: RouteCounts) {
        if self.window.back().is_some_and(|c| c.calls == 0) {
            self.window.pop_back();
        }
        self.window.push_back(old);
        if self.window.len() > WINDOW {
            self.window.pop_front();
        }
    }

    /// The old version's rate of `hits`, with a margin.
    fn old_rate(&self, hits: impl Fn(&RouteCounts) -> u64, floor: f64, fresh: bool) -> f64 {
        let rate = |count: usize, least: u64| {
            let last = self.window.iter().rev().take(count);
            let sum = last.fold((0, 0), |(h, n), c| (h + hits(c), n + c.calls));
            if sum.1 < least { 0.0 } else { upper_rate(sum) }
        };
        let whole = rate(WINDOW, MIN_OLD_CALLS);
        let measured = if fresh {
            whole.max(rate(RECENT, MIN_RECENT_CALLS))
        } else {
            whole * REMEMBERED
        };
        measured.clamp(floor, MAX_RATE)
    }
}

/// The rates of a bad version where the old one has the rate `good`.
fn bad_rates(good: f64, least_mild: f64, least_gross: f64) -> Rates {
    let mild = least_mild.max(good * BAD_FACTOR);
    let mild = if mild <= MAX_FACTOR_RATE {
        mild
    } else {
        f64::midpoint(good, 1.0)
    };
    let gross = least_gross.max(f64::midpoint(mild, 1.0));
    Rates { good, mild, gross }
}

fn upper_rate((hits, calls): (u64, u64)) -> f64 {
    let calls = as_f64(calls);
    let rate = (as_f64(hits) + 0.5) / (calls + 1.0);
    rate + MARGIN * (rate * (1.0 - rate) / calls).sqrt()
}
