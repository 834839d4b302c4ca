//! Entry of an instance in the membership view.

use std::net::SocketAddr;

use model::{InstanceId, Region, Zone};
use wire::ListEntry;

use super::Presence;

/// An instance in the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for other instances.
    pub peer: Option<SocketAddr>,
    /// Whether it may receive new work.
    pub presence: Presence,
}

impl InstanceView {
    pub(super) fn new(item: &ListEntry, presence: Presence) -> Self {
        Self {
            id: InstanceId::new(&item.id),
            incarnation: item.incarnation,
            zone: item.zone.clone(),
            region: item.region.clone(),
            addr: item.addr,
            peer: item.peer,
            presence,
        }
    }

    /// Returns whether `new(item, presence)` would be equal to this view.
    pub(super) fn matches(&self, item: &ListEntry, presence: Presence) -> bool {
        self.presence == presence
            && self.incarnation == item.incarnation
            && self.addr == item.addr
            && self.peer == item.peer
            && self.zone == item.zone
            && self.region == item.region
            && self.id.as_str() == item.id
    }
}
