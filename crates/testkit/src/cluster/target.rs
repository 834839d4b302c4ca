//! One upstream of a cluster and its list entry.

use wire::{EntryKind, EntryState, ListEntry};

use crate::{Upstream, load::ServiceShape};

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
        shape: &ServiceShape,
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
            service: Some(shape.name.into()),
            version: Some(version.into()),
            slots: Some(shape.slots),
            state: EntryState::Live,
            incarnation: 1,
        };
        Self { entry, upstream }
    }

    /// Whether the entry names this availability zone.
    #[must_use]
    pub fn is_in(&self, zone: &str) -> bool {
        self.entry.zone.as_str() == zone
    }

    /// Whether the upstream runs this version.
    #[must_use]
    pub fn has_version(&self, version: &str) -> bool {
        self.entry
            .version
            .as_ref()
            .is_some_and(|v| v.as_str() == version)
    }
}
