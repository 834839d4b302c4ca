//! Result of an attempt.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The complete response arrived and was not a server error.
    Good,
    /// The complete response arrived and was a server error (5xx).
    Error,
    /// The upstream refused the call without running it.
    Refused,
    /// No connection could be opened, so no byte was sent.
    ConnectFailed,
    /// No complete response arrived in time.
    Timeout,
    /// The connection closed, or the response was malformed, truncated or of another call.
    Cut,
    /// The caller disconnected, or another attempt of the call completed first.
    Cancelled,
}

impl AttemptEnd {
    /// Returns whether it is certain that no upstream ran the attempt.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::ConnectFailed)
    }

    /// Returns whether the attempt counts as a failure of the target.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::Cancelled)
    }
}

/// Result of an attempt, as the part of the instance that sent it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Time from the first byte sent to the end of the attempt, in microseconds.
    pub service_us: u64,
    /// Whether another attempt may follow: no byte of a response has been sent to the caller, and
    /// the attempt was not run or its class is idempotent.
    pub retryable: bool,
    /// Whether the upstream reported that it is draining.
    pub draining: bool,
    /// Whether the upstream reported that it is cold.
    pub cold: bool,
}
