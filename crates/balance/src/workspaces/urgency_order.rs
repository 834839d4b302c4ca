//! Which urgencies the requests of a configuration can have. Addresses overload: the requests of an
//! urgent workspace go before those of others, whatever their routes.

use std::collections::{BTreeSet, HashMap};

use model::ServiceName;

use crate::{
    Route,
    workspaces::{Access, KeyIndex, Urgency},
};

/// The urgencies of all requests that a configuration allows.
#[derive(Clone, Debug, Default)]
pub struct UrgencyOrder {
    most_urgent: Option<Urgency>,
    by_service: HashMap<ServiceName, BTreeSet<Urgency>>,
}

impl UrgencyOrder {
    /// Returns the urgencies of requests on `routes`, by the workspaces of `keys` if there are any.
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a Route>, keys: Option<&KeyIndex>) -> Self {
        let priorities = keys.map(KeyIndex::priorities);
        let mut order = Self::default();
        for route in routes {
            for urgency in urgencies(route, priorities.as_ref()) {
                order.add(route, urgency);
            }
        }
        order
    }

    fn add(&mut self, route: &Route, urgency: Urgency) {
        let most_urgent = self.most_urgent.map_or(urgency, |known| known.min(urgency));
        self.most_urgent = Some(most_urgent);
        for part in &route.split {
            let known = self.by_service.entry(part.service.clone());
            known.or_default().insert(urgency);
        }
    }

    /// Returns whether no requests are more urgent.
    pub fn is_first(&self, urgency: Urgency) -> bool {
        self.most_urgent.is_none_or(|known| urgency <= known)
    }

    /// Returns how many urgencies of requests to `service` are more urgent.
    pub fn rank(&self, urgency: Urgency, service: &ServiceName) -> usize {
        let known = self.by_service.get(service);
        known.map_or(0, |known| known.range(..urgency).count())
    }
}

/// Returns the urgencies of requests on `route`. `priorities` are those of the workspaces; requests
/// without one have the priority of the route.
fn urgencies(route: &Route, priorities: Option<&BTreeSet<Option<u32>>>) -> Vec<Urgency> {
    let of_workspaces = priorities.into_iter().flatten().copied();
    let without = priorities.is_none() || route.access != Access::Keyed;
    of_workspaces
        .chain(without.then_some(None))
        .map(|priority| Urgency::with_priority(route, priority))
        .collect()
}
