//! Calls that a previous owner of a target still has in progress on it.

use model::Time;

/// Last report of a previous owner. The new owner leaves as many slots free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InheritedCalls {
    /// Calls that are still in progress.
    pub(crate) busy: u32,
    /// Time by which all of them have ended.
    pub(crate) until: Time,
    /// Version of the instance list that the report is based on. A report with a lower version than
    /// an earlier one is outdated.
    pub(crate) list_version: u64,
}
