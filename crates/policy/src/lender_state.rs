//! Requests for slots to an owner of targets, as the borrower keeps track of them.

use model::Time;

/// Shortest time between two requests for slots to one owner, in microseconds.
pub(crate) const MIN_GAP_US: u64 = 1_000;
/// Longest time between two requests for slots to one owner, in microseconds. Less than the time
/// for which the owner remembers a request.
pub(crate) const MAX_GAP_US: u64 = 32_000;

/// Requests for slots that this instance sent to an owner, and the loans that it got.
#[derive(Clone, Debug)]
pub(crate) struct LenderState {
    /// Highest loan number received. A grant with the same or a lower number is a repeated message,
    /// or the owner has already recalled the loan.
    pub(crate) last_loan: Option<u64>,
    /// Waiting calls that the owner was told of and has granted no slot for: all of them, and those
    /// of tight classes.
    pub(crate) requested: (u32, u32),
    /// Time of the last request.
    pub(crate) last_want: Option<Time>,
    /// Time to wait before the next request, in microseconds. It doubles while the owner grants
    /// nothing.
    pub(crate) gap_us: u64,
}

impl Default for LenderState {
    fn default() -> Self {
        Self {
            last_loan: None,
            requested: (0, 0),
            last_want: None,
            gap_us: MIN_GAP_US,
        }
    }
}
