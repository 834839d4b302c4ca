//! How large the responses of each route are. Traffic between zones is paid by the byte, so that large
//! responses are better fetched in the own zone.

use std::{collections::HashMap, sync::Arc};

use crate::Route;

/// Weight of a new sample.
const GAIN: f64 = 0.1;

/// Mean response sizes by route, in kilobytes.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    routes: HashMap<Arc<str>, f64>,
}

impl ResponseSizes {
    /// Takes in a response of `bytes`.
    pub fn record(&mut self, route: &Route, bytes: usize) {
        let kb = bytes as f64 / 1_000.0;
        let mean = self.routes.entry(Arc::clone(&route.name)).or_insert(kb);
        *mean += GAIN * (kb - *mean);
    }

    /// Expected size of a response, in kilobytes; 0 before the first one.
    #[must_use]
    pub fn mean_kb(&self, route: &Route) -> f64 {
        self.routes.get(&route.name).copied().unwrap_or_default()
    }
}
