//! Mean response sizes of the routes. Traffic between zones is charged by the byte, so large
//! responses are better fetched from targets in the zone of the instance.

use std::{collections::HashMap, sync::Arc};

use crate::Route;

/// Weight of a new sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Moving means of response sizes by name of the route.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    mean_kb: HashMap<Arc<str>, f64>,
}

impl ResponseSizes {
    /// Records the size of a response to a request of `route`.
    pub fn record(&mut self, route: &Route, bytes: usize) {
        let kb = bytes as f64 / 1_000.0;
        let mean = self.mean_kb.entry(Arc::clone(&route.name)).or_insert(kb);
        *mean += SAMPLE_WEIGHT * (kb - *mean);
    }

    /// Returns the expected size of a response, in kilobytes, or 0 before the first one.
    #[must_use]
    pub fn mean_kb(&self, route: &Route) -> f64 {
        self.mean_kb.get(&route.name).copied().unwrap_or_default()
    }
}
