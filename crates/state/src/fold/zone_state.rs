//! An availability zone.

use serde::{Deserialize, Serialize};

/// Whether a zone is out, as the log says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Whether the zone is to receive no new work.
    pub out: bool,
    /// Offset of the last accepted change.
    pub changed: u64,
}
