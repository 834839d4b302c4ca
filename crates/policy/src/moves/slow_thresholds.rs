//! Service time above which a call is slow, by route: the 95th percentile of the old version's last
//! calls plus a margin. Calls of both versions are compared with the same threshold, so an imprecise
//! threshold makes the comparison weaker but favours neither version.

use std::collections::{BTreeMap, VecDeque};

use super::{MAX_ROUTES, OTHER_ROUTE, Side};

/// Last calls of the old version from which a threshold is computed.
const MAX_SAMPLES: usize = 128;
/// Calls of the old version before a route has a threshold. Until then no call is slow.
const MIN_SAMPLES: usize = 32;
/// Calls of the old version after which the threshold is computed again.
const REFRESH_CALLS: u32 = 16;
/// Percentile of the service times from which the threshold is computed.
const PERCENTILE: usize = 95;
/// Margin above the percentile in microseconds. Calls at a small share use fresh connections (about
/// 1 ms) and may cross zones (about 1 ms both ways), which is no fault of the version. Without the
/// margin, a version as fast as the old one was undone as slow when service times hardly varied.
const MARGIN_US: u64 = 2_000;

/// Last service times of the old version on one route, and the threshold computed from them.
#[derive(Clone, Debug, Default)]
struct RouteSamples {
    last_us: VecDeque<u64>,
    /// Calls since the threshold was computed.
    since_refresh: u32,
    threshold_us: Option<u64>,
}

/// Thresholds of one service in one instance. Calls are to be recorded at all times, not only during
/// moves: while a route has no threshold, a version that is slow from the start is not noticed.
#[derive(Clone, Debug, Default)]
pub struct SlowThresholds {
    routes: BTreeMap<String, RouteSamples>,
}

impl SlowThresholds {
    /// Returns whether a good call that took `us` microseconds was slow. The service times of the old
    /// version's calls are recorded and change the threshold of later calls.
    pub fn record(&mut self, side: Side, route: &str, us: u64) -> bool {
        let samples = self.samples(route);
        let slow = samples.threshold_us.is_some_and(|limit| us > limit);
        if side == Side::Old {
            samples.add(us);
        }
        slow
    }

    /// Returns whether `us` microseconds exceed the threshold of `route`, without recording a call.
    /// A call that was cancelled after that time, for example because its hedge won, was then slow
    /// for certain: it would have taken at least as long.
    #[must_use]
    pub fn exceeds(&self, route: &str, us: u64) -> bool {
        let known = self
            .routes
            .get(route)
            .or_else(|| self.routes.get(OTHER_ROUTE));
        known
            .and_then(|s| s.threshold_us)
            .is_some_and(|limit| us > limit)
    }

    fn samples(&mut self, route: &str) -> &mut RouteSamples {
        let known = self.routes.contains_key(route);
        let route = if known || self.routes.len() < MAX_ROUTES {
            route
        } else {
            OTHER_ROUTE
        };
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteSamples::default());
        }
        self.routes.get_mut(route).expect("inserted above")
    }
}

impl RouteSamples {
    fn add(&mut self, us: u64) {
        if self.last_us.len() == MAX_SAMPLES {
            self.last_us.pop_front();
        }
        self.last_us.push_back(us);
        self.since_refresh += 1;
        if self.last_us.len() < MIN_SAMPLES || self.since_refresh < REFRESH_CALLS {
            return;
        }
        self.since_refresh = 0;
        let mut sorted: Vec<u64> = self.last_us.iter().copied().collect();
        let index = sorted.len() * PERCENTILE / 100;
        let (_, percentile, _) = sorted.select_nth_unstable(index);
        self.threshold_us = Some(percentile.saturating_add(MARGIN_US));
    }
}

#[cfg(test)]
mod tests;
