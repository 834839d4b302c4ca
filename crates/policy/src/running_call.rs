//! A call with attempts in progress.

use model::{InstanceId, TargetId, Time};

use crate::waiting_call::WaitingCall;

/// Slot of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Slot {
    /// Of a target that this instance owns.
    Own,
    /// LentSlot by an owner, with the loan's number.
    Loan(InstanceId, u64),
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Where it runs.
    pub(crate) target: TargetId,
    /// Its slot.
    pub(crate) slot: Slot,
}

/// A call in progress.
#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    /// The call as it waited.
    pub(crate) waiting: WaitingCall,
    /// Attempts in progress.
    pub(crate) attempts: Vec<Attempt>,
    /// When a second attempt may be made.
    pub(crate) hedge_at: Option<Time>,
    /// Whether the end was reported, or the caller went away.
    pub(crate) ended: bool,
    /// Whether the caller went away.
    pub(crate) cancelled: bool,
}
