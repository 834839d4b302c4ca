//! One route: which requests it takes, where they go and what they are owed.

use std::sync::Arc;

use crate::WeightedService;

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host that a request must name.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Services that share the requests; never empty.
    pub split: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a request may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}
