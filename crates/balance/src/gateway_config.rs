//! The gateway's configuration: routes, services and limits on callers.

use std::{collections::HashMap, sync::Arc};

use model::ServiceName;

use crate::{
    CallerLimits, Route, ServiceConfig,
    workspaces::{KeyIndex, Urgency, UrgencyOrder, Workspace},
};

/// One version of the configuration, with an index of its routes.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version number; a configuration with a larger one replaces this one.
    pub version: u64,
    /// Limits on the connections and requests of callers.
    pub limits: CallerLimits,
    /// Keys of the workspaces; `None` if requests need no keys.
    keys: Option<KeyIndex>,
    urgencies: UrgencyOrder,
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
        let routes: Vec<Route> = routes.into_iter().collect();
        let urgencies = UrgencyOrder::new(&routes, None);
        for route in routes {
            let by_prefix = hosts.entry(Arc::clone(&route.host)).or_default();
            by_prefix.insert(Arc::clone(&route.path_prefix), Arc::new(route));
        }
        Self {
            version,
            limits,
            keys: None,
            urgencies,
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

    /// Returns the configuration with the keys of workspaces, one of which a request needs unless its
    /// route is public.
    #[must_use]
    pub fn with_keys(mut self, keys: KeyIndex) -> Self {
        let routes = self.routes().map(|route| &**route);
        self.urgencies = UrgencyOrder::new(routes, Some(&keys));
        self.keys = Some(keys);
        self
    }

    /// Returns the keys of the workspaces; `None` if requests need no keys.
    #[must_use]
    pub fn keys(&self) -> Option<&KeyIndex> {
        self.keys.as_ref()
    }

    /// Returns whether no other requests are more urgent than those of `workspace` on `route`.
    #[must_use]
    pub fn is_urgent(&self, route: &Route, workspace: Option<&Workspace>) -> bool {
        self.urgencies.is_first(Urgency::of(route, workspace))
    }

    /// Returns how many urgencies of requests to `service` are more urgent than that of the requests of
    /// `workspace` on `route`.
    #[must_use]
    pub fn urgency_rank(
        &self,
        route: &Route,
        workspace: Option<&Workspace>,
        service: &ServiceName,
    ) -> usize {
        self.urgencies.rank(Urgency::of(route, workspace), service)
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
