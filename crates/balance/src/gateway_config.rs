//! The configuration in force: routes, services and limits on what callers may send.

use std::{collections::HashMap, sync::Arc};

use model::ServiceName;

use crate::{CallerLimits, Route, ServiceConfig};

/// One version of the configuration, with an index of its routes.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version; a larger one replaces a smaller one.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    top_priority: u32,
    services: HashMap<ServiceName, ServiceConfig>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl GatewayConfig {
    /// Builds the index. Of two routes with the same host and prefix, the later one counts.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: impl IntoIterator<Item = ServiceConfig>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        let mut top_priority = u32::MAX;
        for route in routes {
            top_priority = top_priority.min(route.priority);
            let by_prefix = hosts.entry(Arc::clone(&route.host)).or_default();
            by_prefix.insert(Arc::clone(&route.path_prefix), Arc::new(route));
        }
        Self {
            version,
            limits,
            top_priority,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            hosts,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let by_prefix = self.hosts.get(host)?;
        // Every prefix ends with a slash, so only these ends can match.
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| by_prefix.get(&path[..end]))
    }

    /// Whether no other route is more urgent.
    #[must_use]
    pub fn is_urgent(&self, route: &Route) -> bool {
        route.priority <= self.top_priority
    }

    /// What the configuration says of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }
}

#[cfg(test)]
mod tests;
