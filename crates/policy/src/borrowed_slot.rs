//! A slot that this instance borrowed.

use model::{TargetId, Time};

use crate::CallId;

/// A loan as the borrower sees it.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedSlot {
    /// Target of the slot.
    pub(crate) target: TargetId,
    /// Calls on the loan end by then.
    pub(crate) until: Time,
    /// Whether no further call may start on the loan.
    pub(crate) closed: bool,
    /// Call in progress.
    pub(crate) call: Option<CallId>,
    /// Calls that ended well.
    pub(crate) good: u32,
    /// Calls that failed.
    pub(crate) bad: u32,
    /// Sum of the scaled service times of the good calls.
    pub(crate) busy_us: u64,
    /// The target said that it is draining.
    pub(crate) draining: bool,
    /// The target said that it is cold.
    pub(crate) cold: bool,
}
