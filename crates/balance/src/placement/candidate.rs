//! An instance that callers may be directed to.

use std::net::SocketAddr;

use model::{InstanceId, Zone};

/// An instance that takes new callers.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// Name of the instance.
    pub name: &'a InstanceId,
    /// Availability zone of the instance.
    pub zone: &'a Zone,
    /// Address for callers.
    pub addr: SocketAddr,
}
