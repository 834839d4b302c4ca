//! The entry that a target writes to the store to register itself.

use std::net::SocketAddr;

use model::{ServiceName, TargetId, Version, Zone};
use serde::{Deserialize, Serialize};

/// Entry of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Identifier of the target; usually a new one after a restart.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Version of its software.
    pub version: Version,
    /// Largest number of requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target is shutting down and must get no further requests.
    pub draining: bool,
    /// Time for which the target stays cold after it wrote the entry, in milliseconds.
    pub cold_ms: u64,
    /// Start of the target's process, in milliseconds since the Unix epoch. Only compared for
    /// equality.
    pub born: u64,
}

impl TargetEntry {
    /// Returns whether `other` differs at most in how long the target stays cold. An entry of a
    /// cold target never equals one of a target that is not cold.
    #[must_use]
    pub fn equals_except_cold(&self, other: &Self) -> bool {
        self.cold_ms.min(1) == other.cold_ms.min(1)
            && Self {
                cold_ms: 0,
                ..self.clone()
            } == Self {
                cold_ms: 0,
                ..other.clone()
            }
    }

    /// Returns whether `newer` differs only in that the target started to drain, apart from how long
    /// it stays cold.
    #[must_use]
    pub fn starts_draining_in(&self, newer: &Self) -> bool {
        let draining = Self {
            draining: true,
            cold_ms: newer.cold_ms,
            ..self.clone()
        };
        !self.draining && draining == *newer
    }
}
