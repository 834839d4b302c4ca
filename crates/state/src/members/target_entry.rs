//! Entry of a target in the membership view.

use std::net::SocketAddr;

use model::{Region, ServiceName, TargetId, Version, Zone};
use wire::ListEntry;

use super::Presence;

/// A target in the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: Version,
    /// Number of calls that it can run at the same time.
    pub slots: u32,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Whether the list contains it. An incomplete answer that lacks it does not change this.
    pub listed: bool,
    /// Whether it may receive new work.
    pub presence: Presence,
}

impl TargetEntry {
    /// Returns the entry, or `None` if the list lacks a field that an upstream needs.
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

    /// Returns whether the list contains all fields that an upstream needs.
    pub(super) const fn is_complete(item: &ListEntry) -> bool {
        item.service.is_some() && item.version.is_some() && item.slots.is_some()
    }

    /// Returns whether `new(item, presence, listed)` would be equal to this entry.
    pub(super) fn matches(&self, item: &ListEntry, presence: Presence, listed: bool) -> bool {
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
