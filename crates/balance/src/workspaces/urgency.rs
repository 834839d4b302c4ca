//! Urgency of a request.

use crate::{Route, workspaces::Workspace};

/// Urgency of a request: the priority of its workspace, or that of its route if there is none, then the
/// priority of its route. The least is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u32, u32);

impl Urgency {
    /// Returns the urgency of requests of `workspace` on `route`.
    #[must_use]
    pub fn of(route: &Route, workspace: Option<&Workspace>) -> Self {
        Self::with_priority(route, workspace.and_then(|w| w.priority))
    }

    /// Returns the urgency of requests on `route` of a workspace with this priority.
    pub(super) fn with_priority(route: &Route, priority: Option<u32>) -> Self {
        Self(priority.unwrap_or(route.priority), route.priority)
    }
}
