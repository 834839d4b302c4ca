//! A slot that this instance borrowed from its owner.

use model::{TargetId, Time};

use crate::CallId;

/// State of a loan at the borrower.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedSlot {
    /// Target that the slot belongs to.
    pub(crate) target: TargetId,
    /// Time by which all calls on the loan must have ended.
    pub(crate) until: Time,
    /// Whether no further call may start on the loan.
    pub(crate) closed: bool,
    /// Call that uses the slot now.
    pub(crate) call: Option<CallId>,
    /// Number of calls on the loan that ended well.
    pub(crate) good: u32,
    /// Number of calls on the loan that failed.
    pub(crate) bad: u32,
    /// Sum of the scaled service times of the calls that ended well, in microseconds.
    pub(crate) busy_us: u64,
    /// Whether the target reported that it is draining.
    pub(crate) draining: bool,
    /// Whether the target reported that it is cold.
    pub(crate) cold: bool,
}
