//! Input of the ranking of instances for a duty; see
//! [`Members::ranked`](crate::Members::ranked).

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
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

impl DutyCandidate<'_> {
    /// Returns how fit the instance is for a duty; the largest value first. Instances that cannot
    /// reach the store come last, then those with slow links: what they send for all instances is
    /// delayed or dropped behind the responses to callers. Links of about the same bandwidth count
    /// as equal.
    #[must_use]
    pub fn fitness(&self) -> (bool, u32) {
        (self.has_store, self.link_mbps.max(1).ilog2())
    }
}
