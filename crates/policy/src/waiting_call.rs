//! A call that waits for a slot.

use model::{TargetId, Time};

use crate::Call;

/// A call that waits in the queue for its first attempt or for a retry.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    /// The call.
    pub(crate) call: Call,
    /// Index of the class in the dispatcher's class table.
    pub(crate) class: usize,
    /// Whether the call may not use the slots that are reserved for tight classes, those with a
    /// short target time.
    pub(crate) loose: bool,
    /// Whether the caller had used more than its fair share when the call arrived.
    pub(crate) over_share: bool,
    /// Latest start. If no attempt has started by then, the call is refused.
    pub(crate) latest_start: Time,
    /// Earliest start: the arrival, or the end of the backoff of a retry.
    pub(crate) earliest_start: Time,
    /// Targets of earlier attempts.
    pub(crate) tried: Vec<TargetId>,
    /// Number of attempts that an upstream ran or may have run.
    pub(crate) possible_runs: u32,
}
