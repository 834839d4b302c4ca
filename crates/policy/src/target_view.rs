//! A target as configuration and membership show it.

use std::net::SocketAddr;

use model::{InstanceId, Region, TargetId, Version, Zone};

/// Whether a target may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// May receive new work.
    Usable,
    /// Its availability zone is out.
    ZoneOut,
    /// It is leaving.
    Leaving,
    /// It gave no sign of life.
    Silent,
    /// Its version was stopped, or is neither in service nor moved to.
    Barred,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Target.
    pub id: TargetId,
    /// Its process; a larger one is a new and cold process.
    pub incarnation: u64,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Version.
    pub version: Version,
    /// Calls that it runs at a time when warm.
    pub slots: u32,
    /// Whether it may receive new work.
    pub state: TargetState,
    /// Instance that hands out its slots.
    pub owner: InstanceId,
}
