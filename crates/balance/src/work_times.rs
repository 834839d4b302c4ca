//! Work times of all routes. A route without samples of its own is taken to be like those with the same
//! objective, rank and kind.

use std::{collections::HashMap, sync::Arc};

use crate::{Route, Work};

/// Samples from which a route's own mean counts.
const ENOUGH: u32 = 8;
/// Work time assumed before any sample, as a part of the objective; objectives in use are 2.5 to 7 times
/// the work.
const FIRST_PART: f64 = 0.35;

/// Objective in milliseconds, rank, and whether requests may be repeated.
type Likeness = (u64, u32, bool);

/// Work times by route and by likeness.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    routes: HashMap<Arc<str>, Work>,
    alike: HashMap<Likeness, Work>,
}

impl WorkTimes {
    /// Takes in a response; see [`Work::note`].
    pub fn note(&mut self, route: &Route, ms: f64, before: u32, after: u32) {
        let of_route = self.routes.entry(Arc::clone(&route.name)).or_default();
        of_route.note(ms, before, after);
        let alike = self.alike.entry(likeness(route)).or_default();
        alike.note(ms, before, after);
    }

    /// Expected time of a request at the usual pace, in milliseconds.
    #[must_use]
    pub fn ms(&self, route: &Route) -> f64 {
        let own = self.routes.get(&route.name);
        let own = own.filter(|work| work.samples() >= ENOUGH);
        own.or_else(|| self.alike.get(&likeness(route)))
            .and_then(Work::ms)
            .unwrap_or(route.aim_ms as f64 * FIRST_PART)
    }
}

fn likeness(route: &Route) -> Likeness {
    (route.aim_ms, route.priority, route.repeatable)
}

#[cfg(test)]
mod tests;
