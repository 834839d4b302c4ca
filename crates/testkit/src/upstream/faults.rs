//! Faults that tests can switch on at an upstream.

/// A fault of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// Carries the call id and the body of the call that was answered before.
    PreviousCall,
    /// Has no `date` header, as from a server without a clock. The response is valid.
    NoDate,
    /// Is sent twice on the same connection.
    Duplicated,
    /// Ends after half of the announced body.
    Truncated,
    /// Is sent this many milliseconds after the service time.
    Delayed(u64),
}

/// Faults of a bad version: errors, slowness or both.
#[derive(Clone, Copy, Debug)]
pub struct BadVersion {
    /// Fraction of calls that get status 500.
    pub error_rate: f64,
    /// Factor on service times.
    pub slowdown: f64,
    /// Path of the affected calls; all calls are affected if `None`.
    pub path: Option<&'static str>,
    /// Number of running calls from which on calls are affected.
    pub min_running: u32,
}

/// Faults of an upstream. The default has none.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFaults {
    /// Factor on service times.
    pub slowdown: f64,
    /// Answers calls with status 500 without processing them.
    pub fail_fast: bool,
    /// Refuses calls and reports that it is draining.
    pub draining: bool,
    /// Number of slots of an upstream that reports that it is cold and refuses further calls.
    /// `None` for a warm upstream.
    pub cold_slots: Option<u32>,
    /// Accepts calls and never answers them, also on new connections.
    pub silent: bool,
    /// Fraction of calls that are refused although slots are free.
    pub refusal_rate: f64,
    /// Load that is reported instead of the actual one.
    pub reported_load: Option<f64>,
    /// Fault of responses.
    pub response_fault: Option<ResponseFault>,
    /// One in this many responses has `response_fault`; 0 and 1 mean all.
    pub fault_interval: u64,
    /// Faults of the version that the upstream runs.
    pub bad_version: Option<BadVersion>,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            fail_fast: false,
            draining: false,
            cold_slots: None,
            silent: false,
            refusal_rate: 0.0,
            reported_load: None,
            response_fault: None,
            fault_interval: 1,
            bad_version: None,
        }
    }
}
