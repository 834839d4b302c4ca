//! One service as an instance sees it at a moment. Immutable; replaced as a whole.

use std::sync::Arc;

use model::{Class, InstanceId, ServiceName, Version, Zone};

use crate::TargetView;

/// Split of a service's calls between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveMove {
    /// Version before the move.
    pub from: Version,
    /// Version moved to.
    pub to: Version,
    /// Move id.
    pub move_id: String,
    /// Share of calls on `to`, in basis points.
    pub share: u16,
}

/// All that a dispatcher knows from configuration and membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Highest version of the instance list that this instance believed. Never falls; when two
    /// instances disagree on an owner, the one that saw the older list yields.
    pub list_version: u64,
    /// Service.
    pub name: ServiceName,
    /// This instance.
    pub me: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Classes in document order.
    pub classes: Vec<Class>,
    /// Targets in id order, those that may not receive work included.
    pub targets: Vec<Arc<TargetView>>,
    /// Live instances of this region that own targets of the service, in id order, this one
    /// included if it does.
    pub owners: Vec<InstanceId>,
    /// Version in service when no move is in progress.
    pub version: Version,
    /// Move in progress.
    pub active_move: Option<ActiveMove>,
}
