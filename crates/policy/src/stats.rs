//! Counters of a dispatcher, for metrics.

use std::collections::BTreeMap;

use model::{Code, TargetId};

/// Counters since the start, and present sizes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls that arrived.
    pub arrived: u64,
    /// Attempts started.
    pub starts: u64,
    /// Attempts started on the new version of a move.
    pub new_starts: u64,
    /// Refusals by code.
    pub refused: BTreeMap<Code, u64>,
    /// Attempts that were retries.
    pub retries: u64,
    /// Attempts that were hedges.
    pub hedges: u64,
    /// Slots lent.
    pub loans_out: u64,
    /// Slots borrowed.
    pub loans_in: u64,
    /// Calls started on borrowed slots.
    pub loan_starts: u64,
    /// Loans taken back without an answer.
    pub reclaimed: u64,
    /// Messages sent.
    pub messages: u64,
    /// Bytes of messages sent, estimated from their fields.
    pub bytes: u64,
    /// Messages that waited for the budget or were left out because of it.
    pub held_back: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Pauses of the process that were noticed.
    pub pauses: u64,
    /// Invariants that did not hold, by code.
    pub violations: BTreeMap<Code, u64>,
    /// Calls waiting.
    pub queue: usize,
    /// Bytes held by waiting calls.
    pub queue_bytes: u64,
    /// Limit of each target whose slots this instance hands out.
    pub limits: BTreeMap<TargetId, u32>,
}
