//! Counts requests to the new version of a rollout that have no outcome yet.

use std::rc::Rc;

use balance::Route;
use model::ServiceName;

use crate::{selection::SelectedTarget, state::State, version_filter::is_new_version};

/// Counts a request to the new version as pending until dropped.
pub struct PendingOutcome {
    state: Rc<State>,
    service: ServiceName,
    route: u64,
}

impl PendingOutcome {
    /// Starts to count a request of `route`, if it goes to the new version of a rollout.
    pub fn begin(
        state: &Rc<State>,
        service: &ServiceName,
        route: &Route,
        selected: &SelectedTarget,
    ) -> Option<Self> {
        if !is_new_version(state, service, &selected.version) {
            return None;
        }
        let route = route_key(route);
        let mut rollouts = state.rollouts.borrow_mut();
        rollouts.get_mut(service)?.own_evidence.begin_pending(route);
        Some(Self {
            state: Rc::clone(state),
            service: service.clone(),
            route,
        })
    }
}

impl Drop for PendingOutcome {
    fn drop(&mut self) {
        let mut rollouts = self.state.rollouts.borrow_mut();
        if let Some(rollout) = rollouts.get_mut(&self.service) {
            rollout.own_evidence.end_pending(self.route);
        }
    }
}

/// Returns the key by which evidence of a rollout is kept apart for each route.
pub fn route_key(route: &Route) -> u64 {
    model::rendezvous(&route.name, "")
}
