//! What the configuration says of a service.

use std::sync::Arc;

use model::ServiceName;

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name.
    pub name: ServiceName,
    /// Path of the health probe.
    pub health_path: Arc<str>,
    /// Most connections that a target accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that one target bears while it is cold, from all instances together.
    pub cold_rate: f64,
}
