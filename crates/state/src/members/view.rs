//! Snapshot of the membership at one time.

use model::{InstanceId, ServiceName, Version};

use super::{InstanceView, Presence, TargetEntry};

/// Instances and targets that are not gone, in id order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembersView {
    /// Version of this view. Rises with each change and is meaningful in this instance only.
    pub version: u64,
    /// Highest version of the instance list that this instance accepted. Unlike `version`, it can be
    /// compared between instances.
    pub list_version: u64,
    /// Instances.
    pub instances: Vec<InstanceView>,
    /// Targets.
    pub targets: Vec<TargetEntry>,
}

impl MembersView {
    /// Returns the instances that may receive new work.
    pub fn live(&self) -> impl Iterator<Item = &InstanceView> {
        let usable = |i: &&InstanceView| i.presence == Presence::Usable;
        self.instances.iter().filter(usable)
    }

    /// Returns the ids of the instances that may receive new work.
    #[must_use]
    pub fn live_ids(&self) -> Vec<InstanceId> {
        self.live().map(|i| i.id.clone()).collect()
    }

    /// Returns whether the list shows a target of this version that is not leaving.
    #[must_use]
    pub fn lists_version(&self, service: &ServiceName, version: &Version) -> bool {
        self.targets.iter().any(|t| {
            t.listed
                && t.presence != Presence::Leaving
                && t.service == *service
                && t.version == *version
        })
    }
}
