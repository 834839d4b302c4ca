//! Faults of an upstream.

/// What is wrong with the answers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Carries the call id and the body of the call answered before.
    Crossed,
    /// Is right, but has no `date` header, as servers without a clock send it.
    NoDate,
    /// Is sent twice on the same connection.
    Duplicated,
    /// Ends after half of the announced body.
    Short,
    /// Is sent this many milliseconds after the service time.
    Late(u64),
}

/// How a version is bad. Both kinds may be combined.
#[derive(Clone, Copy, Debug)]
pub struct BadVersion {
    /// Share of calls that get status 500.
    pub errors: f64,
    /// Factor on service times.
    pub slowdown: f64,
    /// Path that is affected; all if `None`.
    pub route: Option<&'static str>,
    /// Affected only while at least this many calls run.
    pub min_running: u32,
}

/// Faults of an upstream. The default is none.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFaults {
    /// Factor on service times.
    pub slowdown: f64,
    /// Answers status 500 at once.
    pub fail_fast: bool,
    /// Says that it is draining, and refuses.
    pub draining: bool,
    /// Slots while cold; more are refused and counted. `None` when warm.
    pub cold_slots: Option<u32>,
    /// Accepts requests and never answers, also on new connections.
    pub silent: bool,
    /// Share of calls that are refused although slots are free.
    pub shed: f64,
    /// Load reported in place of the true one.
    pub false_load: Option<f64>,
    /// Wrong answers.
    pub answers: Option<AnswerFault>,
    /// Of how many calls one gets a wrong answer; 0 and 1 mean all.
    pub answers_every: u64,
    /// A bad version.
    pub bad: Option<BadVersion>,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            fail_fast: false,
            draining: false,
            cold_slots: None,
            silent: false,
            shed: 0.0,
            false_load: None,
            answers: None,
            answers_every: 1,
            bad: None,
        }
    }
}
