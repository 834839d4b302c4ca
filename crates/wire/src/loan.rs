//! Messages by which instances lend each other slots of targets and hand targets over.

use model::TargetId;
use serde::{Deserialize, Serialize};

/// A message between two instances about one service's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanMsg {
    /// The sender has `waiting` calls and no free slot. 0 withdraws the wish.
    Want {
        /// Calls that could start at once.
        waiting: u32,
        /// Those among them whose class may use reserved slots.
        tight: u32,
    },
    /// The sender lends one slot of a target that it owns.
    Grant {
        /// Target of the slot.
        target: TargetId,
        /// Identifies the loan at the lender.
        loan: u64,
        /// Time after which the lender takes the slot back, in milliseconds from the sending.
        hold_ms: u32,
    },
    /// The sender gives a lent slot back.
    Return {
        /// Loan that ends.
        loan: u64,
        /// Calls that ended well on it.
        good: u32,
        /// Calls that failed or were refused by the upstream.
        bad: u32,
        /// Sum over the good calls of service time over the class's median, a call at the median
        /// counted as 10,000 us. Scaled, because the lender does not know the calls' classes.
        busy_us: u64,
        /// The target said that it is draining.
        draining: bool,
        /// The target said that it is cold.
        cold: bool,
    },
    /// The lender asks for a slot back as soon as its call ends.
    Recall {
        /// Loan to end.
        loan: u64,
    },
    /// The sender is now the owner of these targets by its view.
    Claim {
        /// Membership view of the sender.
        view: u64,
        /// Targets that it claims.
        targets: Vec<TargetId>,
    },
    /// Answer to a claim: the sender starts nothing more on these targets.
    Release {
        /// Membership view of the sender.
        view: u64,
        /// Targets given up, each with the calls still in progress and the current limit.
        targets: Vec<(TargetId, u32, u32)>,
        /// Targets that the sender keeps because its own view is newer.
        kept: Vec<TargetId>,
    },
}
