//! A call that waits for a slot.

use model::{TargetId, Time};

use crate::Call;

/// A waiting call. Ordered by its key.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    /// The call.
    pub(crate) call: Call,
    /// Index in the dispatcher's class table.
    pub(crate) class: usize,
    /// Whether the class leaves the last slots to tighter ones.
    pub(crate) loose: bool,
    /// Whether the caller used more than its fair share when the call came.
    pub(crate) over_share: bool,
    /// Latest start.
    pub(crate) latest_start: Time,
    /// Earliest start, for retries.
    pub(crate) earliest_start: Time,
    /// Targets that earlier attempts used.
    pub(crate) tried: Vec<TargetId>,
    /// Attempts that may have run at an upstream.
    pub(crate) possible_runs: u32,
}
