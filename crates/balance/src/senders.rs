//! The instances that share the requests to a target whose rate is limited.

use model::{InstanceId, TargetId, rendezvous};

/// The live instances as this one knows them.
#[derive(Clone, Debug)]
pub struct Senders {
    own: InstanceId,
    /// All live instances, this one included.
    instances: Vec<InstanceId>,
    /// Differs, with near certainty, between two sets of instances.
    fingerprint: u64,
}

impl Senders {
    /// Returns the view of the instance `own`, which is one of `instances`.
    #[must_use]
    pub fn new(own: InstanceId, instances: Vec<InstanceId>) -> Self {
        let hashes = instances.iter().map(|name| rendezvous("", name.as_str()));
        let fingerprint = hashes.fold(0, u64::wrapping_add);
        Self {
            own,
            instances,
            fingerprint,
        }
    }

    /// Returns the number of instances.
    #[must_use]
    pub fn count(&self) -> usize {
        self.instances.len().max(1)
    }

    /// Returns a number that changes when the set of instances does.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the number of instances that rank before this one for `target`.
    #[must_use]
    pub fn rank(&self, target: &TargetId) -> usize {
        let weight = |name: &InstanceId| rendezvous(target.as_str(), name.as_str());
        let own = &self.own;
        let own_weight = weight(own);
        let others = self.instances.iter().filter(|name| *name != own);
        others
            .filter(|name| {
                let weight = weight(name);
                weight > own_weight || weight == own_weight && *name < own
            })
            .count()
    }
}
