//! A target as the membership view shows it.

use std::net::SocketAddr;

use model::{Region, ServiceName, TargetId, Version, Zone};
use wire::ListEntry;

use super::Presence;

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id.
    pub id: TargetId,
    /// Its process.
    pub incarnation: u64,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: Version,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Whether the list shows it, or showed it until the list could not be believed.
    pub listed: bool,
    /// Whether it takes part.
    pub presence: Presence,
}

impl TargetEntry {
    /// `None` if the list lacks what an upstream's entry needs.
    pub(super) fn new(item: &ListEntry, presence: Presence, listed: bool) -> Option<Self> {
        Some(Self {
            id: TargetId::new(&item.id),
            incarnation: item.incarnation,
            service: item.service.clone()?,
            version: item.version.clone()?,
            slots: item.slots?,
            addr: item.addr,
            zone: item.zone.clone(),
            region: item.region.clone(),
            listed,
            presence,
        })
    }

    /// Whether the list gives all that an upstream's entry needs.
    pub(super) const fn is_complete(item: &ListEntry) -> bool {
        item.service.is_some() && item.version.is_some() && item.slots.is_some()
    }

    /// Whether the entry made from `item` would be equal.
    pub(super) fn shows(&self, item: &ListEntry, presence: Presence, listed: bool) -> bool {
        self.presence == presence
            && self.listed == listed
            && self.incarnation == item.incarnation
            && self.addr == item.addr
            && Some(self.slots) == item.slots
            && item.service.as_ref() == Some(&self.service)
            && item.version.as_ref() == Some(&self.version)
            && self.zone == item.zone
            && self.region == item.region
            && self.id.as_str() == item.id
    }
}
