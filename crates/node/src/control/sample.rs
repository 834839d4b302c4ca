//! The result of one attempt, as evidence about the version that ran it.

use std::sync::Arc;

use model::Version;

/// Result of one attempt of a call that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Version that ran the attempt.
    pub version: Version,
    /// Method and first segment of the path.
    pub route: Arc<str>,
    /// Whether the attempt failed.
    pub error: bool,
    /// Whether the attempt was cancelled before it ended. Its service time is then a lower bound.
    pub cancelled: bool,
    /// Whether the target reported itself as cold. The service time then says nothing about the
    /// version.
    pub cold: bool,
    /// Service time in microseconds.
    pub service_us: u64,
}
