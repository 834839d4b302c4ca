//! A call with attempts in progress.

use model::{InstanceId, TargetId, Time};

use crate::waiting_call::WaitingCall;

/// Slot that an attempt uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Slot {
    /// A slot of a target that this instance owns.
    Own,
    /// A slot borrowed from the given owner, with the number of the loan.
    Loan(InstanceId, u64),
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Target that runs the attempt.
    pub(crate) target: TargetId,
    /// Slot that the attempt uses.
    pub(crate) slot: Slot,
}

/// A call with attempts in progress.
#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    /// The call with its state from the queue, which a retry needs.
    pub(crate) waiting: WaitingCall,
    /// Attempts in progress.
    pub(crate) attempts: Vec<Attempt>,
    /// Time from which a hedge may be started.
    pub(crate) hedge_at: Option<Time>,
    /// Whether [`crate::Action::GiveUp`] was emitted for the call.
    pub(crate) ended: bool,
    /// Whether the caller disconnected.
    pub(crate) cancelled: bool,
}
