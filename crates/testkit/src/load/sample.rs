//! Result of one planned call.

use super::Arrival;

/// A planned call and its result.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Number of the call in its plan.
    pub number: usize,
    /// The planned call.
    pub arrival: Arrival,
    /// Time from the planned send time to the end of the call, in microseconds.
    pub latency_us: u64,
    /// Time from the planned to the actual start, in microseconds. The load tool causes this delay.
    pub late_us: u64,
    /// HTTP status, or 0 if there is no response.
    pub status: u16,
    /// Result code, or 0 if there is none.
    pub code: u16,
    /// Whether the outcome is unknown because the call was sent but no response arrived.
    pub unknown: bool,
    /// Whether a successful response belonged to another call, was incomplete or had no result
    /// code.
    pub wrong: bool,
    /// Number of retries by the caller.
    pub retries: u32,
}

impl Sample {
    /// Returns whether a successful response arrived that is complete and belongs to the call.
    #[must_use]
    pub const fn is_served(&self) -> bool {
        self.code == 1_000 && self.status == 200 && !self.wrong
    }

    /// Returns whether the response says that the call was not run.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        !self.unknown && self.code >= 2_000 && self.code < 4_000
    }
}
