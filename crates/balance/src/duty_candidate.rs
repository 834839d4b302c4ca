//! Input of the ranking of instances for a duty; see
//! [`Members::duty_rank`](crate::Members::duty_rank).

use model::{InstanceId, Zone};

/// An instance that may have a duty, with the properties that decide its rank.
#[derive(Clone, Copy, Debug)]
pub struct DutyCandidate<'a> {
    /// Name of the instance.
    pub name: &'a InstanceId,
    /// Availability zone.
    pub zone: &'a Zone,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
}
