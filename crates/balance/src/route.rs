//! A route: the requests that it matches, the services that they go to, and their limits.

use std::sync::Arc;

use crate::{WeightedService, workspaces::Access};

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, unique in the configuration.
    pub name: Arc<str>,
    /// Host that a request must name, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path that a request must have; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services that the requests are split between; never empty.
    pub split: Vec<WeightedService>,
    /// Whether a request may run more than once, which allows retries and hedges.
    pub idempotent: bool,
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Longest time until the response to a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need the key of a workspace.
    pub access: Access,
}
