//! An instance that may have a duty.

use model::{InstanceId, Zone};

/// What decides on its rank.
#[derive(Clone, Copy, Debug)]
pub struct DutyCandidate<'a> {
    /// Name.
    pub name: &'a InstanceId,
    /// Availability zone.
    pub zone: &'a Zone,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
}
