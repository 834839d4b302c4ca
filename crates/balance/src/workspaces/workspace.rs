//! A workspace: a team that shares the gateway with others.

use std::sync::Arc;

/// A workspace of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, which targets get with each request. It can be sent in a header.
    pub name: Arc<str>,
    /// Priority, which takes precedence over that of a route; 0 is the most urgent. Without one, that
    /// of the route counts.
    pub priority: Option<u32>,
}
