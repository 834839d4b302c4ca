//! Faults of the log service.

/// Faults of the log service. The default is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Answers nothing but status 503.
    pub down: bool,
    /// Delays every answer, in milliseconds.
    pub delay_ms: u64,
    /// Appends the records of this many further appends but breaks the connection without answer.
    pub lose_answers: u32,
    /// Breaks the connection of this many further appends without appending.
    pub lose_requests: u32,
    /// Appends the records of this many further appends twice.
    pub double_appends: u32,
    /// Keeps only half of each line of this many further appends.
    pub tear_appends: u32,
    /// Records kept in each stream; 0 keeps all.
    pub keep: usize,
}
