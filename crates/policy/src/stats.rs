//! Counters and sizes of a dispatcher, for metrics.

use std::collections::BTreeMap;

use model::{Code, TargetId};

/// Counters since the dispatcher was created, and its current sizes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls that have arrived.
    pub arrived: u64,
    /// Attempts started.
    pub starts: u64,
    /// Attempts started on the new version of the move in progress.
    pub new_starts: u64,
    /// Refusals by code.
    pub refused: BTreeMap<Code, u64>,
    /// Attempts that were retries.
    pub retries: u64,
    /// Attempts that were hedges.
    pub hedges: u64,
    /// Slots lent to other instances.
    pub loans_out: u64,
    /// Slots borrowed from other instances.
    pub loans_in: u64,
    /// Calls started on borrowed slots.
    pub loan_starts: u64,
    /// Loans whose slots this instance took back because the borrower did not return them in time.
    pub reclaimed: u64,
    /// Messages sent to peers.
    pub messages: u64,
    /// Bytes of messages sent, estimated from their fields.
    pub bytes: u64,
    /// Messages that were delayed or not sent because the message budget was used up.
    pub held_back: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Pauses of the process that the dispatcher noticed.
    pub pauses: u64,
    /// Violated invariants, by code.
    pub violations: BTreeMap<Code, u64>,
    /// Calls waiting.
    pub queue: usize,
    /// Bytes held by waiting calls.
    pub queue_bytes: u64,
    /// Concurrency limit of each target that this instance owns.
    pub limits: BTreeMap<TargetId, u32>,
}
