//! The control state as traffic threads see it: immutable snapshots, each of which replaces the last.

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
    /// Addresses of the owner instances in rank order, followed by those of other instances.
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
    /// Whether the state contains the document of at least one tenant.
    pub ready: bool,
    /// Whether the instance list was read at least once. Until then no target is known.
    pub listed: bool,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSnapshot>,
}

impl Snapshot {
    /// Returns whether the instance can serve calls. Before the first read of the instance list a call
    /// would find no target.
    pub const fn can_serve(&self) -> bool {
        self.ready && self.listed
    }
}
