//! Settings of one service in the gateway's configuration.

use std::sync::Arc;

use model::ServiceName;

/// Settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health probe.
    pub health_path: Arc<str>,
    /// Largest number of connections that a target accepts, from all instances together.
    pub max_connections: u32,
    /// Requests a second that one target can serve while it is cold, from all instances together.
    pub cold_rate: f64,
}
