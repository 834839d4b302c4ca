//! Change of one target's entry in the store.

use model::TargetId;
use serde::{Deserialize, Serialize};

use crate::TargetEntry;

/// Change of one target's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryChange {
    /// The target wrote a new or changed entry.
    Put(TargetEntry),
    /// The entry of the target is not in the store any more.
    Gone(TargetId),
}
