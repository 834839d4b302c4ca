//! Processing times of all routes. A route with too few samples of its own is assumed to be like
//! the routes with the same objective, priority and idempotence.

use std::{collections::HashMap, sync::Arc};

use crate::{ProcessingTime, Route};

/// Number of samples from which a route's own mean is used.
const MIN_SAMPLES: u32 = 8;
/// Processing time assumed without any sample, as a fraction of the objective. The objectives in
/// use are 2.5 to 7 times the processing time.
const DEFAULT_FRACTION: f64 = 0.35;

/// Objective in milliseconds, priority, and whether requests are idempotent.
type RouteKind = (u64, u32, bool);

/// Processing times by route and by kind of route.
#[derive(Clone, Debug, Default)]
pub struct ProcessingTimes {
    routes: HashMap<Arc<str>, ProcessingTime>,
    kinds: HashMap<RouteKind, ProcessingTime>,
}

impl ProcessingTimes {
    /// Records a response to a request of `route`; see [`ProcessingTime::record`].
    pub fn record(&mut self, route: &Route, ms: f64, before: u32, after: u32) {
        let of_route = self.routes.entry(Arc::clone(&route.name)).or_default();
        of_route.record(ms, before, after);
        let of_kind = self.kinds.entry(kind(route)).or_default();
        of_kind.record(ms, before, after);
    }

    /// Returns the expected processing time of a request at the usual speed, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, route: &Route) -> f64 {
        let own = self.routes.get(&route.name);
        let own = own.filter(|time| time.samples() >= MIN_SAMPLES);
        own.or_else(|| self.kinds.get(&kind(route)))
            .and_then(ProcessingTime::mean_ms)
            .unwrap_or(route.objective_ms as f64 * DEFAULT_FRACTION)
    }
}

/// Returns the kind of a route. Routes of one kind are assumed to take similar processing times.
fn kind(route: &Route) -> RouteKind {
    (route.objective_ms, route.priority, route.idempotent)
}

#[cfg(test)]
mod tests;
