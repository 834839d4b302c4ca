//! Faults that tests can switch on at the log service.

/// Faults of the log service. The default has none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Answers all requests with status 503.
    pub down: bool,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of further appends that are performed but whose connection breaks without a response.
    pub lost_responses: u32,
    /// Number of further appends that are not performed and whose connection breaks.
    pub lost_requests: u32,
    /// Number of further appends whose records are appended twice.
    pub duplicated_appends: u32,
    /// Number of further appends that keep only the first half of each record.
    pub truncated_appends: u32,
    /// Number of records that a stream retains after an append; 0 means all.
    pub max_records: usize,
}
