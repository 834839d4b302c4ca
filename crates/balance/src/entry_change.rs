//! Change of one target's entry in the store.

use model::TargetId;
use serde::{Deserialize, Serialize};

use crate::TargetEntry;

/// Change of one target's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryChange {
    /// The target wrote a new or changed entry.
    Put(TargetEntry),
    /// The target started to drain; nothing else has changed. Shorter than the whole entry, so that
    /// many targets that leave at the same time fit into few datagrams.
    Draining(TargetId),
    /// The entry of the target is not in the store any more.
    Gone(TargetId),
}

impl EntryChange {
    /// Returns the target that the change is about.
    #[must_use]
    pub fn target(&self) -> &TargetId {
        match self {
            Self::Put(entry) => &entry.id,
            Self::Draining(id) | Self::Gone(id) => id,
        }
    }
}
