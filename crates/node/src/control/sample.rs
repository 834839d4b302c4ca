//! The result of one call, as evidence about the version that ran it.

use std::sync::Arc;

use model::Version;

/// Result of one call that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Version that ran the call.
    pub version: Version,
    /// Method and first segment of the path.
    pub route: Arc<str>,
    /// Whether the call failed.
    pub error: bool,
    /// Whether the call was cancelled before it ended. Its service time is then a lower bound.
    pub cut: bool,
    /// Whether the target reported itself as cold. The service time then says nothing about the
    /// version.
    pub cold: bool,
    /// Service time in microseconds.
    pub service_us: u64,
}
