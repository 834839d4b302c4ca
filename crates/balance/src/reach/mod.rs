//! Reach: whether this instance can connect to the targets of each service.
//!
//! Failure: an instance is partitioned from targets that all others reach. Each target then looks failed
//! from here, one after the other, although none of them is. Connections tell the two apart: a process that
//! hangs still has its connections accepted by its machine, and a target that answers shows that the
//! instance is not cut off.

mod contact;
mod peer_choice;
mod service_reach;

pub use self::{contact::Contact, peer_choice::PeerChoice, service_reach::ServiceReach};

use std::collections::HashMap;

use model::{ServiceName, TargetId, Time};

/// Time for which contact is lost before other instances are told, in microseconds. When targets fail for
/// all instances for a moment, they should not all change their descriptions.
const LONG_US: u64 = 1_000_000;

/// Reach of all services with trouble. A service without an entry is reached.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: HashMap<ServiceName, ServiceReach>,
}

impl Reach {
    /// Returns whether the targets of `service` are reached.
    #[must_use]
    pub fn contact(&self, service: &ServiceName) -> Contact {
        self.services
            .get(service)
            .map_or(Contact::Reached, ServiceReach::contact)
    }

    /// Returns what is known of a service that has trouble.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&ServiceReach> {
        self.services.get(service)
    }

    /// Returns whether no target of `service` is known to be in reach.
    #[must_use]
    pub fn has_none(&self, service: &ServiceName, now: Time) -> bool {
        let of_service = self.services.get(service);
        of_service.is_some_and(|r| r.contact() == Contact::Lost && !r.is_partial(now))
    }

    /// Returns whether contact with most targets of `service` is lost and this is one of them.
    #[must_use]
    pub fn is_unreachable(&self, service: &ServiceName, id: &TargetId) -> bool {
        let of_service = self.services.get(service);
        of_service.is_some_and(|r| r.contact() == Contact::Lost && r.failed_at(id).is_some())
    }

    /// Returns the services that are not reached.
    pub fn lost(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self
            .services
            .iter()
            .filter(|(_, reach)| reach.contact() == Contact::Lost);
        lost.map(|(service, _)| service)
    }

    /// Returns the services that have not been reached for some time, so that it is worth telling others.
    pub fn lost_for_long(&self, now: Time) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        let lost = services.filter(move |(_, reach)| reach.lost_us(now) >= LONG_US);
        lost.map(|(service, _)| service)
    }

    /// Records that a target has accepted a connection or answered. `known` is the number of targets of
    /// the service that may be used. Returns the contact if it changed.
    pub fn record_contact(
        &mut self,
        service: &ServiceName,
        id: &TargetId,
        known: impl FnOnce() -> usize,
        now: Time,
    ) -> Option<Contact> {
        let reach = self.services.get_mut(service)?;
        let before = reach.contact();
        reach.record_contact(id, known(), now);
        let after = reach.contact();
        if reach.is_clear() {
            self.services.remove(service);
        }
        (after != before).then_some(after)
    }

    /// Records that no connection to a target could be opened. Returns the contact if it changed.
    pub fn record_unreachable(
        &mut self,
        service: &ServiceName,
        id: &TargetId,
        known: usize,
        now: Time,
    ) -> Option<Contact> {
        self.update(service, |reach| reach.record_unreachable(id, known, now))
    }

    /// Records that a target has not answered on an open connection, or has closed it. Returns the contact
    /// if it changed.
    pub fn record_silent(
        &mut self,
        service: &ServiceName,
        id: &TargetId,
        known: usize,
    ) -> Option<Contact> {
        self.update(service, |reach| reach.record_silent(id, known))
    }

    /// Forgets services for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    fn update(
        &mut self,
        service: &ServiceName,
        action: impl FnOnce(&mut ServiceReach),
    ) -> Option<Contact> {
        let reach = self.services.entry(service.clone()).or_default();
        let before = reach.contact();
        action(reach);
        let after = reach.contact();
        (after != before).then_some(after)
    }
}

#[cfg(test)]
mod tests;
