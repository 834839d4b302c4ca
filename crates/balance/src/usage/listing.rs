//! The newest records of the usage topic.

use crate::{Position, usage::UsageRecord};

/// The newest record of each key, with its offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageListing {
    /// End of the partition.
    pub end: Position,
    /// Offsets and records.
    pub records: Vec<(u64, UsageRecord)>,
    /// Whether records that cannot be read may hide others.
    pub is_partial: bool,
}
