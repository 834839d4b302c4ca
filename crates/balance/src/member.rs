//! One instance of the system, as it describes itself to the others.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use model::{InstanceId, Time, Zone};
use serde::{Deserialize, Serialize};

use crate::DutyCandidate;

/// States whether an instance takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// The instance has just started and does not know enough of the system yet.
    Starting,
    /// The instance takes new callers.
    Ready,
    /// The instance is shutting down.
    Leaving,
}

/// One instance. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceId,
    /// Number of its process. A later process of the instance has a larger one.
    pub incarnation: u64,
    /// Number of the description within the process. It rises with each change.
    pub revision: u32,
    /// Availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other instances.
    pub peer_addr: SocketAddr,
    /// Whether it takes callers.
    pub presence: Presence,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
    /// Whether it is in contact with most targets.
    pub has_targets: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Latest time at which it was known to live; `None` if it never was.
    #[serde(skip)]
    pub last_heard: Option<Time>,
}

impl Member {
    /// Returns whether this is a later description of the instance than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }

    /// Returns the instance as a candidate for a duty.
    #[must_use]
    pub fn candidate(&self) -> DutyCandidate<'_> {
        DutyCandidate {
            name: &self.name,
            zone: &self.zone,
            has_store: self.has_store,
            link_mbps: self.link_mbps,
        }
    }

    /// Returns a number that differs, with near certainty, between two processes.
    #[must_use]
    pub fn fingerprint_of_process(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.peer_addr, self.incarnation).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a number that differs, with near certainty, between two descriptions.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.peer_addr, self.incarnation, self.revision).hash(&mut hasher);
        hasher.finish()
    }
}
