//! Result of a call with a usage report.

/// What the holder knows of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform has the report.
    Accepted,
    /// The platform takes no more calls now (429).
    Busy,
    /// The platform does not take this report (other statuses from 400 to 499).
    Rejected,
    /// No usable answer. The platform may have the report.
    Failed,
    /// The lease ran out before the call was sent. Nothing was sent.
    Unsent,
}
