//! Work times of all routes. A route without samples of its own is taken to be like those with the same
//! objective, rank and kind.

use std::{collections::HashMap, sync::Arc};

use crate::{ProcessingTime, Route};

/// Samples from which a route's own mean counts.
const ENOUGH: u32 = 8;
/// Work time assumed before any sample, as a part of the objective; objectives in use are 2.5 to 7 times
/// the work.
const FIRST_PART: f64 = 0.35;

/// Objective in milliseconds, rank, and whether requests may be repeated.
type Likeness = (u64, u32, bool);

/// Work times by route and by likeness.
#[derive(Clone, Debug, Default)]
pub struct ProcessingTimes {
    routes: HashMap<Arc<str>, ProcessingTime>,
    alike: HashMap<Likeness, ProcessingTime>,
}

impl ProcessingTimes {
    /// Takes in a response; see [`ProcessingTime::record`].
    pub fn record(&mut self, route: &Route, ms: f64, before: u32, after: u32) {
        let of_route = self.routes.entry(Arc::clone(&route.name)).or_default();
        of_route.record(ms, before, after);
        let alike = self.alike.entry(likeness(route)).or_default();
        alike.record(ms, before, after);
    }

    /// Expected time of a request at the usual pace, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, route: &Route) -> f64 {
        let own = self.routes.get(&route.name);
        let own = own.filter(|work| work.samples() >= ENOUGH);
        own.or_else(|| self.alike.get(&likeness(route)))
            .and_then(ProcessingTime::mean_ms)
            .unwrap_or(route.objective_ms as f64 * FIRST_PART)
    }
}

fn likeness(route: &Route) -> Likeness {
    (route.objective_ms, route.priority, route.idempotent)
}

#[cfg(test)]
mod tests;
