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
}
