//! A call as evidence about a version.

use std::sync::Arc;

use model::Version;

/// One call that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Version that ran it.
    pub version: Version,
    /// Method and first segment of the path.
    pub route: Arc<str>,
    /// Whether it failed.
    pub error: bool,
    /// Whether it was cancelled, so that it would have taken longer.
    pub cut: bool,
    /// The target said that it is cold, so that its time says nothing about the version.
    pub cold: bool,
    /// Service time in microseconds.
    pub service_us: u64,
}
