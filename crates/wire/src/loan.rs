//! Messages by which instances lend each other slots of targets and transfer the ownership of
//! targets.

use model::TargetId;
use serde::{Deserialize, Serialize};

/// A message between two instances about one service's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanMsg {
    /// The sender requests slots because it has `waiting` queued calls and no free slot. A message
    /// with `waiting` 0 withdraws the request.
    Want {
        /// Queued calls that would start at once on a free slot.
        waiting: u32,
        /// Number of these calls with a tight class, which may use reserved slots.
        tight: u32,
    },
    /// The sender lends one slot of a target that it owns.
    Grant {
        /// Target that the slot belongs to.
        target: TargetId,
        /// Id of the loan, assigned by the lender.
        loan: u64,
        /// Time after which the lender takes the slot back, in milliseconds from the sending.
        hold_ms: u32,
    },
    /// The sender gives a lent slot back.
    Return {
        /// Id of the loan that ends.
        loan: u64,
        /// Calls that succeeded on the slot.
        good: u32,
        /// Calls that failed or were refused by the upstream.
        bad: u32,
        /// Sum over the good calls of service time over the class's median, a call at the median
        /// counted as 10,000 us. Scaled, because the lender does not know the calls' classes.
        busy_us: u64,
        /// Whether the target reported that it is draining.
        draining: bool,
        /// Whether the target reported that it is cold.
        cold: bool,
    },
    /// The lender asks the borrower to return a slot as soon as its call ends.
    Recall {
        /// Id of the loan to end.
        loan: u64,
    },
    /// The sender claims the targets that it owns by its membership view.
    Claim {
        /// Version of the sender's membership view.
        view: u64,
        /// Targets that it claims.
        targets: Vec<TargetId>,
    },
    /// Response to a claim: the sender starts no more calls on these targets.
    Release {
        /// Version of the sender's membership view.
        view: u64,
        /// Released targets, each with the number of its calls in progress and its current limit.
        targets: Vec<(TargetId, u32, u32)>,
        /// Targets that the sender keeps because its own view is newer.
        kept: Vec<TargetId>,
    },
}
