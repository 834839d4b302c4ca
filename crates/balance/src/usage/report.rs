//! A usage report to send.

use std::sync::Arc;

/// One call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Window that the report is about.
    pub window: u64,
    /// Token of the holder's claim.
    pub token: u64,
    /// Body, as recorded.
    pub body: Arc<str>,
}
