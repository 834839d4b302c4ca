//! An append whose outcome is not known yet.

use model::Time;

use crate::{Position, usage::UsageRecord};

/// An append of the holder. Until its outcome is known, nothing else is written.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub record: UsageRecord,
    /// End of the partition that the store is to check.
    pub at: Position,
    /// Time before the first call. A lease counts from here, because this call may be the one that
    /// was done.
    pub since: Time,
    /// Whether a call had no usable answer, so that the append may be done at any later time.
    pub is_unknown: bool,
    /// Whether the records are to be listed before the same bytes are appended again.
    pub must_list: bool,
}
