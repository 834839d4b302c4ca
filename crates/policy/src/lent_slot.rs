//! A slot that this instance lent.

use model::{InstanceId, Time};

/// A loan as the lender sees it.
#[derive(Clone, Debug)]
pub(crate) struct LentSlot {
    /// Borrower.
    pub(crate) to: InstanceId,
    /// When the slot is taken back without an answer.
    pub(crate) until: Time,
    /// When the borrower is asked whether it still has the loan.
    pub(crate) ask: Time,
    /// Whether the loan was recalled.
    pub(crate) recalled: bool,
}
