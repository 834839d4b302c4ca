//! Membership at a moment.

use model::{InstanceId, ServiceName, Version};

use super::{InstanceView, Presence, TargetEntry};

/// Instances and targets that are not gone, in id order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembersView {
    /// Rises with each change that this instance saw.
    pub version: u64,
    /// Highest version of the list that was believed. Unlike `version`, it can be compared between
    /// instances.
    pub listed: u64,
    /// Instances.
    pub instances: Vec<InstanceView>,
    /// Targets.
    pub targets: Vec<TargetEntry>,
}

impl MembersView {
    /// Instances that may receive work.
    pub fn live(&self) -> impl Iterator<Item = &InstanceView> {
        let usable = |i: &&InstanceView| i.presence == Presence::Usable;
        self.instances.iter().filter(usable)
    }

    /// Ids of the instances that may receive work.
    #[must_use]
    pub fn live_ids(&self) -> Vec<InstanceId> {
        self.live().map(|i| i.id.clone()).collect()
    }

    /// Whether the list shows a target of this version that is not leaving.
    #[must_use]
    pub fn is_listed(&self, service: &ServiceName, version: &Version) -> bool {
        self.targets.iter().any(|t| {
            t.listed
                && t.presence != Presence::Leaving
                && t.service == *service
                && t.version == *version
        })
    }
}
