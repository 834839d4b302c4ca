//! Calls that a previous owner still has in progress on a target.

use model::Time;

/// What a previous owner reported last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InheritedCalls {
    /// Calls in progress.
    pub(crate) busy: u32,
    /// When the calls have ended at the latest.
    pub(crate) until: Time,
    /// Membership view of the report. Reports with an older one were overtaken.
    pub(crate) list_version: u64,
}
