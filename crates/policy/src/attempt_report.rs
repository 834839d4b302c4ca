//! How an attempt ended.

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The whole answer arrived and was not a server error.
    Good,
    /// The whole answer arrived and was a server error (5xx).
    Error,
    /// The upstream refused without running the call.
    Refused,
    /// No connection could be opened; no byte left.
    ConnectFailed,
    /// No whole answer in time.
    Timeout,
    /// The connection closed, or the answer was malformed, short or of another call.
    Cut,
    /// The caller went away, or another attempt won.
    Cancelled,
}

impl AttemptEnd {
    /// Whether no upstream ran the attempt.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::ConnectFailed)
    }

    /// Whether the attempt speaks against the target.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::Cancelled)
    }
}

/// What an attempt showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// How it ended.
    pub end: AttemptEnd,
    /// From the first byte sent to the end, in microseconds.
    pub service_us: u64,
    /// Whether another attempt may follow: nothing of an answer has reached the caller, and the
    /// attempt was not run or its class is idempotent.
    pub retryable: bool,
    /// The upstream said that it is draining.
    pub draining: bool,
    /// The upstream said that it is cold.
    pub cold: bool,
}
