//! What became of one planned call.

use super::Arrival;

/// A call and its end.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Number of the call in its plan.
    pub number: usize,
    /// The planned call.
    pub arrival: Arrival,
    /// Time from the intended send time to the end, in microseconds.
    pub latency_us: u64,
    /// Time from the intended to the actual start, in microseconds: what the load tool itself adds.
    pub late_us: u64,
    /// HTTP status; 0 without answer.
    pub status: u16,
    /// Result code; 0 without answer.
    pub code: u16,
    /// Whether the call may have run without its answer arriving.
    pub unknown: bool,
    /// Whether a successful answer was not the call's own, not whole, or without result code.
    pub wrong: bool,
    /// Repeats by the caller.
    pub repeats: u32,
}

impl Sample {
    /// Whether the call's own, whole answer arrived, and it was no error.
    #[must_use]
    pub const fn is_served(&self) -> bool {
        self.code == 1_000 && self.status == 200 && !self.wrong
    }

    /// Whether the caller was told that the call was not run.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        !self.unknown && self.code >= 2_000 && self.code < 4_000
    }
}
