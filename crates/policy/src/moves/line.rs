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
/// Numbers of last observations that are also looked at alone. A disturbance of both versions shows
/// in the last one; where that has few calls, a few together say more.
const RECENT: [usize; 2] = [1, 4];
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
/// Rate below which a rise of the old version's rate is taken for chance.
const MIN_DISTURBED_RATE: f64 = 0.05;
/// Calls below which the same holds.
const MIN_DISTURBED_CALLS: u64 = 50;
/// Rise of the old version's rates that counts as a disturbance. A version that is bad all the time
/// is none, so that an operator can move away from it.
const DISTURBED_FACTOR: f64 = 2.0;
/// Rates of gross faults.
const GROSS_ERROR_RATE: f64 = 0.5;
const GROSS_SLOW_RATE: f64 = 0.7;
/// A version is bad when its rate is this multiple of the old one's.
const BAD_FACTOR: f64 = 3.0;
const MAX_FACTOR_RATE: f64 = 0.9;
/// Rate above which the old version cannot be told from a worse one.
const MAX_RATE: f64 = 0.98;

/// Picks errors or slow calls.
type Hits = fn(&RouteCounts) -> u64;

/// State of the two tests, for errors and for slowness.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    window: VecDeque<RouteCounts>,
    /// Whether the old version received no call in the last observation.
    idle: bool,
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

    /// Adds the calls since the last observation. `floors` are rates of errors and slow calls that
    /// the old version is known to have at least. `Some` names the test that found a fault.
    pub(crate) fn observe(
        &mut self,
        old: RouteCounts,
        new: &RouteCounts,
        alpha: f64,
        floors: [f64; 2],
    ) -> Option<&'static str> {
        self.remember(old);
        let old_calls: u64 = self.window.iter().map(|c| c.calls).sum();
        if new.calls == 0 || old_calls < MIN_OLD_CALLS {
            return None;
        }
        self.calls += new.calls;
        let good = self.old_rate(errors, floors[0].max(MIN_ERROR_RATE));
        let rates = bad_rates(good, BAD_ERROR_RATE, GROSS_ERROR_RATE);
        if self.errors.add((new.errors, new.calls), rates, alpha) {
            return Some("errors");
        }
        let good = self.old_rate(slow, floors[1].max(MIN_SLOW_RATE));
        let rates = bad_rates(good, BAD_SLOW_RATE, GROSS_SLOW_RATE);
        let found = self.slow.add((new.slow, new.calls), rates, alpha);
        found.then_some("slow")
    }

    /// Whether both checks accepted the version at this share, on at least `calls` calls.
    pub(crate) fn is_accepted(&self, calls: u64) -> bool {
        self.errors.is_accepted() && self.slow.is_accepted() && self.calls >= calls
    }

    /// Whether either test leans towards a fault.
    pub(crate) fn is_suspicious(&self) -> bool {
        self.errors.is_suspicious() || self.slow.is_suspicious()
    }

    /// Only observations with calls are kept, so that the rates outlast the old version's calls.
    fn remember(&mut self, old: RouteCounts) {
        self.idle = old.calls == 0;
        if self.idle {
            return;
        }
        self.window.push_back(old);
        if self.window.len() > WINDOW {
            self.window.pop_front();
        }
    }

    /// Whether something disturbs the old version now, as far as it still receives calls.
    pub(crate) fn is_disturbed(&self) -> bool {
        !self.idle && self.disturbance().iter().any(|rate| *rate > 0.0)
    }

    /// The old version's rates of errors and slow calls in a disturbance, else 0.
    pub(crate) fn disturbance(&self) -> [f64; 2] {
        [errors, slow].map(|hits| self.disturbed_rate(hits, MIN_DISTURBED_RATE))
    }

    /// The old version's rate. The last observations get a margin only in a disturbance: at other
    /// times a margin on so few calls would hide faults.
    fn old_rate(&self, hits: Hits, floor: f64) -> f64 {
        let recent = RECENT.map(|count| match self.last(count, hits) {
            (_, calls) if calls < MIN_RECENT_CALLS => 0.0,
            sum => rate(sum),
        });
        let whole = upper_rate(self.last(WINDOW, hits));
        let disturbed = self.disturbed_rate(hits, floor.max(MIN_DISTURBED_RATE));
        let measured = recent.into_iter().fold(whole.max(disturbed), f64::max);
        let fresh = self.window.back().is_some_and(|c| c.calls > 0);
        let measured = if fresh {
            measured
        } else {
            measured * REMEMBERED
        };
        measured.clamp(floor, MAX_RATE)
    }

    /// The rate, with a margin, if it just rose to at least `least` and much above what it was over
    /// the whole window, else 0.
    fn disturbed_rate(&self, hits: Hits, least: f64) -> f64 {
        let usual = rate(self.last(WINDOW, hits));
        let rate_of = |count| {
            let sum = self.last(count, hits);
            let recent = rate(sum);
            let risen = recent >= least && recent >= DISTURBED_FACTOR * usual;
            let counts = sum.1 >= MIN_DISTURBED_CALLS && risen;
            if counts { upper_rate(sum) } else { 0.0 }
        };
        RECENT.map(rate_of).into_iter().fold(0.0, f64::max)
    }

    /// Hits and calls of the old version over the last observations.
    fn last(&self, count: usize, hits: Hits) -> (u64, u64) {
        let last = self.window.iter().rev().take(count);
        last.fold((0, 0), |(h, n), c| (h + hits(c), n + c.calls))
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

fn errors(counts: &RouteCounts) -> u64 {
    counts.errors
}

fn slow(counts: &RouteCounts) -> u64 {
    counts.slow
}

fn rate((hits, calls): (u64, u64)) -> f64 {
    as_f64(hits) / as_f64(calls.max(1))
}

fn upper_rate((hits, calls): (u64, u64)) -> f64 {
    let calls = as_f64(calls);
    let rate = (as_f64(hits) + 0.5) / (calls + 1.0);
    rate + MARGIN * (rate * (1.0 - rate) / calls).sqrt()
}
