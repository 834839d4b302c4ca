//! An upstream of a cluster with its entry in the instance list.

use wire::{EntryKind, EntryState, ListEntry};

use crate::{Upstream, load::ServiceProfile};

/// An upstream of a cluster.
#[derive(Debug)]
pub struct Target {
    /// Its entry in the instance list.
    pub entry: ListEntry,
    /// The running upstream.
    pub upstream: Upstream,
}

impl Target {
    pub(super) fn new(
        id: &str,
        zone: &str,
        service: &ServiceProfile,
        version: &str,
        upstream: Upstream,
    ) -> Self {
        let entry = ListEntry {
            id: id.to_owned(),
            kind: EntryKind::Upstream,
            zone: zone.into(),
            region: "region-1".into(),
            addr: upstream.addr(),
            peer: None,
            service: Some(service.name.into()),
            version: Some(version.into()),
            slots: Some(service.slots),
            state: EntryState::Live,
            incarnation: 1,
        };
        Self { entry, upstream }
    }

    /// Returns whether the upstream is in this availability zone.
    #[must_use]
    pub fn is_in_zone(&self, zone: &str) -> bool {
        self.entry.zone.as_str() == zone
    }

    /// Returns whether the upstream runs this version.
    #[must_use]
    pub fn has_version(&self, version: &str) -> bool {
        self.entry
            .version
            .as_ref()
            .is_some_and(|v| v.as_str() == version)
    }
}
