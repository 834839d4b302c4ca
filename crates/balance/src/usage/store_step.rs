//! The next call of a collector to the store.

use crate::{Position, usage::UsageRecord};

/// What to do next in the usage topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreStep {
    /// List the newest records.
    List,
    /// Append a record, on condition that the partition ends at this offset.
    Append {
        /// Record to append.
        record: UsageRecord,
        /// End of the partition that the store must check.
        at: Position,
    },
}
