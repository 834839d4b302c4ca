//! Configuration and membership of one target.

use std::net::SocketAddr;

use model::{InstanceId, Region, TargetId, Version, Zone};

/// Whether a target may receive new calls, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target may receive new calls.
    Usable,
    /// The availability zone of the target is out of service.
    ZoneOut,
    /// The target is leaving.
    Leaving,
    /// No heartbeat of the target has arrived for too long.
    Silent,
    /// The version of the target was stopped, or is neither in service nor the new version of a
    /// move.
    Barred,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation of the target. A higher one is a new process, which is cold.
    pub incarnation: u64,
    /// Address to which calls are sent.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Region of the target.
    pub region: Region,
    /// Version that the target runs.
    pub version: Version,
    /// Number of calls that the target runs at a time when it is warm.
    pub slots: u32,
    /// Whether the target may receive new calls.
    pub state: TargetState,
    /// Instance that owns the target and assigns its slots.
    pub owner: InstanceId,
}
