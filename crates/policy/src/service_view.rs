//! Configuration and membership of one service, as an instance knows them at one moment. A view is
//! immutable; a change replaces it as a whole.

use std::sync::Arc;

use model::{Class, InstanceId, ServiceName, Version, Zone};

use crate::TargetView;

/// Move in progress, and how it splits the service's calls between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveMove {
    /// Version that the service leaves.
    pub from: Version,
    /// Version that the service moves to.
    pub to: Version,
    /// Id of the move.
    pub move_id: String,
    /// Share of calls that `to` receives, in basis points.
    pub share: u16,
}

/// Everything that a dispatcher knows of its service from configuration and membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Highest version of the instance list that this instance has accepted. It never decreases.
    /// When two instances disagree on the owner of a target, the one with the older list yields.
    pub list_version: u64,
    /// Name of the service.
    pub name: ServiceName,
    /// This instance.
    pub me: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Classes of the service, in the order of the configuration document.
    pub classes: Vec<Class>,
    /// All targets of the service in id order, including those that may not receive new calls.
    pub targets: Vec<Arc<TargetView>>,
    /// Live instances of this region that own targets of the service, in id order. Includes this
    /// instance if it owns any.
    pub owners: Vec<InstanceId>,
    /// Version that serves all calls when no move is in progress.
    pub version: Version,
    /// Move in progress, if any.
    pub active_move: Option<ActiveMove>,
}
