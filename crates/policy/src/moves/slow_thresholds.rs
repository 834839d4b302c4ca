//! The service time above which a call counts as slow: the old version's p95 over its last calls, by
//! route, and a margin. Calls of both versions are compared with the same bar, so an imprecise bar makes the
//! comparison weaker but not unfair.

use std::collections::{BTreeMap, VecDeque};

use super::{MAX_ROUTES, OTHER_ROUTE, Side};

/// Calls of the old version that the bar is taken from.
const SAMPLES: usize = 128;
/// Calls needed before anything counts as slow.
const MIN_SAMPLES: usize = 32;
/// Calls after which the bar is computed again.
const REFRESH: u32 = 16;
const QUANTILE_PERCENT: usize = 95;
/// Added to the quantile. Calls on a small share use fresh connections (about 1 ms) and may cross zones
/// (about 1 ms both ways), which is no fault of the version. Without it, a version as fast as the old one
/// was taken back as slow when service times had hardly any spread.
const MARGIN_US: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Samples {
    last_us: VecDeque<u64>,
    fresh: u32,
    bar_us: Option<u64>,
}

/// Bars of one service in one instance. To be fed at all times, not only during moves: a bar that
/// has yet to collect its samples would hide a version that is slow from the start.
#[derive(Clone, Debug, Default)]
pub struct SlowThresholds {
    routes: BTreeMap<String, Samples>,
}

impl SlowThresholds {
    /// Whether a good call that took `us` was slow. Calls of the old version also move the bar.
    pub fn record(&mut self, side: Side, route: &str, us: u64) -> bool {
        let samples = self.samples(route);
        let slow = samples.bar_us.is_some_and(|bar| us > bar);
        if side == Side::Old {
            samples.add(us);
        }
        slow
    }

    /// Whether a call that was cancelled after `us`, for example because its hedge won, was slow for
    /// certain. It would have taken at least as long.
    #[must_use]
    pub fn exceeds(&self, route: &str, us: u64) -> bool {
        let known = self
            .routes
            .get(route)
            .or_else(|| self.routes.get(OTHER_ROUTE));
        known.and_then(|s| s.bar_us).is_some_and(|bar| us > bar)
    }

    fn samples(&mut self, route: &str) -> &mut Samples {
        let known = self.routes.contains_key(route);
        let route = if known || self.routes.len() < MAX_ROUTES {
            route
        } else {
            OTHER_ROUTE
        };
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Samples::default());
        }
        self.routes.get_mut(route).expect("inserted above")
    }
}

impl Samples {
    fn add(&mut self, us: u64) {
        if self.last_us.len() == SAMPLES {
            self.last_us.pop_front();
        }
        self.last_us.push_back(us);
        self.fresh += 1;
        if self.last_us.len() < MIN_SAMPLES || self.fresh < REFRESH {
            return;
        }
        self.fresh = 0;
        let mut sorted: Vec<u64> = self.last_us.iter().copied().collect();
        let at = sorted.len() * QUANTILE_PERCENT / 100;
        let (_, bar, _) = sorted.select_nth_unstable(at);
        self.bar_us = Some(bar.saturating_add(MARGIN_US));
    }
}

#[cfg(test)]
mod tests;
