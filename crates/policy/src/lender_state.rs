//! An owner of targets as a possible borrower sees it.

use model::Time;

/// Shortest time between two wishes to one owner, in microseconds.
pub(crate) const MIN_GAP_US: u64 = 1_000;
/// Longest time between two wishes to one owner, in microseconds. Below the time that the owner
/// remembers a wish.
pub(crate) const MAX_GAP_US: u64 = 32_000;

/// What this instance told an owner, and what came back.
#[derive(Clone, Debug)]
pub(crate) struct LenderState {
    /// Highest loan number seen. Lower ones are repeats or were overtaken by a recall.
    pub(crate) last_loan: Option<u64>,
    /// Waiting calls that the owner knows of: all, tight ones.
    pub(crate) requested: (u32, u32),
    /// Time of the last wish.
    pub(crate) last_want: Option<Time>,
    /// Time to leave before the next wish, in microseconds; doubles while wishes go unanswered.
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
