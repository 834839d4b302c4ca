//! What a target says of itself.

use std::net::SocketAddr;

use model::{ServiceName, TargetId, Version, Zone};
use serde::{Deserialize, Serialize};

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Identity; a restart mostly brings a new one.
    pub id: TargetId,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Version of its software.
    pub version: Version,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it stays cold, in milliseconds, when it said so.
    pub cold_ms: u64,
    /// Start of its process, in milliseconds since the Unix epoch. Only compared for equality.
    pub born: u64,
}

impl TargetEntry {
    /// Whether `other` says the same but for how long the target stays cold.
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
}
