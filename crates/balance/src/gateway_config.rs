//! The gateway's configuration: routes, services and limits on callers.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use model::ServiceName;

use crate::{CallerLimits, Route, ServiceConfig};

/// One version of the configuration, with an index of its routes.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version number; a configuration with a larger one replaces this one.
    pub version: u64,
    /// Limits on the connections and requests of callers.
    pub limits: CallerLimits,
    /// Priority number of the most urgent routes.
    top_priority: u32,
    /// Priority numbers of the routes to each service.
    service_priorities: HashMap<ServiceName, BTreeSet<u32>>,
    services: HashMap<ServiceName, ServiceConfig>,
    /// Routes by host and path prefix.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl GatewayConfig {
    /// Builds a configuration and its index. Of two routes with the same host and path prefix, the
    /// later one replaces the earlier one.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: impl IntoIterator<Item = ServiceConfig>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        let mut top_priority = u32::MAX;
        let mut service_priorities: HashMap<ServiceName, BTreeSet<u32>> = HashMap::new();
        for route in routes {
            top_priority = top_priority.min(route.priority);
            for part in &route.split {
                let priorities = service_priorities.entry(part.service.clone());
                priorities.or_default().insert(route.priority);
            }
            let by_prefix = hosts.entry(Arc::clone(&route.host)).or_default();
            by_prefix.insert(Arc::clone(&route.path_prefix), Arc::new(route));
        }
        Self {
            version,
            limits,
            top_priority,
            service_priorities,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            hosts,
        }
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let by_prefix = self.hosts.get(host)?;
        // Every prefix ends with a slash, so a match can only end after a slash of the path.
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| by_prefix.get(&path[..end]))
    }

    /// Returns whether no other route is more urgent.
    #[must_use]
    pub fn is_urgent(&self, route: &Route) -> bool {
        route.priority <= self.top_priority
    }

    /// Returns how many priorities of routes to `service` are more urgent than that of `route`.
    #[must_use]
    pub fn urgency_rank(&self, route: &Route, service: &ServiceName) -> usize {
        let priorities = self.service_priorities.get(service);
        priorities.map_or(0, |p| p.range(..route.priority).count())
    }

    /// Returns the settings of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }
}

#[cfg(test)]
mod tests;
