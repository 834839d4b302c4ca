//! What traffic threads see of the control state: immutable, replaced as a whole.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{InstanceId, ServiceName, Zone};
use policy::ServiceView;

/// An address that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddr {
    /// Address for calls.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
}

/// One service in a snapshot.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    /// View passed to the dispatcher.
    pub view: Arc<ServiceView>,
    /// Addresses of the home instances in rank order, then a spare.
    pub entries: Vec<EntryAddr>,
}

/// Control state at one log offset and membership view.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Last log offset applied.
    pub offset: u64,
    /// Version of the membership view.
    pub view: u64,
    /// Live instances of this region, this one included.
    pub live: Vec<InstanceId>,
    /// Whether a configuration was ever applied.
    pub ready: bool,
    /// Whether the instance list was ever read. Until then no target is known.
    pub listed: bool,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSnapshot>,
}

impl Snapshot {
    /// Whether calls can be taken. A call before the first read of the list would find no target.
    pub const fn can_serve(&self) -> bool {
        self.ready && self.listed
    }
}
