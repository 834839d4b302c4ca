//! Recorded state of an availability zone.

use serde::{Deserialize, Serialize};

/// Whether the log says that an availability zone is out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Whether the zone is out. Targets in a zone that is out receive no new calls.
    pub out: bool,
    /// Offset of the last accepted change.
    pub changed: u64,
}
