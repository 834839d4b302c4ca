//! A slot that this instance lent to another one.

use model::{InstanceId, Time};

/// State of a loan at the lender.
#[derive(Clone, Debug)]
pub(crate) struct LentSlot {
    /// Instance that borrowed the slot.
    pub(crate) borrower: InstanceId,
    /// Time at which the slot is taken back even if the borrower has not returned it.
    pub(crate) reclaim_at: Time,
    /// Time at which the lender asks the borrower whether it still uses the loan.
    pub(crate) query_at: Time,
    /// Whether the lender has recalled the loan.
    pub(crate) recalled: bool,
}
