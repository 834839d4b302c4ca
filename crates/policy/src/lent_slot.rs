//! A slot that this instance lent.

use model::{InstanceId, Time};

/// A loan as the lender sees it.
#[derive(Clone, Debug)]
pub(crate) struct LentSlot {
    /// Borrower.
    pub(crate) borrower: InstanceId,
    /// When the slot is taken back without an answer.
    pub(crate) reclaim_at: Time,
    /// When the borrower is asked whether it still has the loan.
    pub(crate) query_at: Time,
    /// Whether the loan was recalled.
    pub(crate) recalled: bool,
}
