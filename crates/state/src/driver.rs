//! Drives version moves: decides which steps, stops and verdicts this instance proposes, and when.
//!
//! Every instance applies the same rules to its own evidence. Each waits according to its rank, so
//! that usually only one instance makes a proposal; the fold ignores duplicates. A proposal's id is
//! derived from its content, so an append whose answer was lost is repeated under the same id.

mod bucket;
mod input;
mod output;
mod progress;
mod retry_timer;

use std::collections::BTreeMap;

use model::{InstanceId, OperatorName, ServiceName, Time, rendezvous};
use policy::moves::Assessment;
use wire::{Body, Fact, Record, Verdict};

pub use self::{
    bucket::TokenBucket,
    input::{DriverInput, MoveEvidence},
    output::DriverOutput,
};
use self::{progress::MoveProgress, retry_timer::RetryTimer};
use crate::{
    MoveState,
    snapshot::rank,
    views::{CLOCK_BOUND_MS, stop_reason},
};

/// Time that an instance waits for each instance ranked before it. A proposal of another instance
/// comes back from a healthy log within two batches of 100 ms.
const TURN_MS: u64 = 200;
/// Upper bound of the delay added to each wait and retry, fixed for an instance and a key.
const JITTER_MS: u64 = 100;
/// Largest number of records in one append: the stops and verdicts of 8 moves.
const MAX_BATCH: usize = 16;
/// Time between two ticks above which the process is assumed to have been paused.
const PAUSE_MS: u64 = 1_000;
/// Time before the deadline after which `Done` is no longer proposed.
const DONE_MARGIN_MS: u64 = 2_000;

/// A record that the rules require and that the log does not hold yet.
struct PendingRecord {
    id: String,
    /// Key by which the instances are ranked. A stop and its verdict have the same key, so that one
    /// instance appends them together.
    turn_key: String,
    body: Body,
}

/// Drives all open moves in one instance.
#[derive(Debug)]
pub struct Driver {
    me: InstanceId,
    bucket: TokenBucket,
    /// Progress of the open moves, by move id.
    progress: BTreeMap<String, MoveProgress>,
    /// Timers of the pending records, by record id.
    timers: BTreeMap<String, RetryTimer>,
    last_tick: Option<Time>,
}

impl Driver {
    /// Creates a driver that has seen no move yet.
    #[must_use]
    pub fn new(me: &InstanceId, now: Time) -> Self {
        Self {
            me: me.clone(),
            bucket: TokenBucket::new(now),
            progress: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// Returns the records to append and the facts to send now. The control thread calls this every
    /// 100 ms while the fold holds an open move.
    pub fn tick(&mut self, input: DriverInput<'_>) -> DriverOutput {
        self.detect_pause(input.now);
        let mut facts = Vec::new();
        let mut pending = Vec::new();
        let open = |id: &str| input.fold.find_move(id).is_some_and(|(_, m)| m.is_open());
        self.progress.retain(|id, _| open(id));
        for (service, move_state) in input.fold.open_moves() {
            self.decide(input, service, move_state, &mut pending, &mut facts);
        }
        // Stops and verdicts come before steps, in case not all records fit into one append.
        pending.sort_by_key(|r| matches!(r.body, Body::Step { .. }));
        let records = self.due_records(input, pending);
        DriverOutput { records, facts }
    }

    /// Resets waits after a pause of the process. Other instances may have made the proposals in the
    /// meantime, and versions that were missing from the list may be back.
    fn detect_pause(&mut self, now: Time) {
        let last = self.last_tick.replace(now);
        if last.is_some_and(|t| now.since_us(t) > PAUSE_MS * 1_000) {
            self.timers.clear();
            self.progress
                .values_mut()
                .for_each(MoveProgress::forget_missing);
        }
    }

    /// Applies the rules to one move and adds the records and facts that they require.
    fn decide(
        &mut self,
        input: DriverInput<'_>,
        service: &ServiceName,
        move_state: &MoveState,
        pending: &mut Vec<PendingRecord>,
        facts: &mut Vec<Fact>,
    ) {
        let evidence = input.evidence.get(&move_state.id);
        let progress = self.progress.entry(move_state.id.clone());
        let progress = progress.or_insert_with(|| MoveProgress::new(input, move_state));
        progress.update(input, service, move_state);

        let own_reason = evidence.and_then(|e| match &e.assessment {
            Assessment::Bad { reason } => Some(reason.as_str()),
            _ => None,
        });
        let fact_reason = stop_reason(input.facts, &move_state.id);
        if let Some(reason) = own_reason
            && fact_reason.is_none()
        {
            facts.push(stop_fact(service, move_state, reason));
        }
        let reason = move_state.stop.as_deref().or(fact_reason).or(own_reason);
        if let Some(reason) = reason {
            if move_state.stop.is_none() {
                pending.push(stop(service, move_state, reason));
            }
            pending.push(verdict(move_state, Verdict::Undone, reason));
            return;
        }
        if input.wall > move_state.deadline.plus_ms(CLOCK_BOUND_MS) {
            let idle = evidence.is_none_or(|e| e.calls == 0);
            let reason = if idle { "no_traffic" } else { "deadline" };
            pending.push(verdict(move_state, Verdict::Undone, reason));
            return;
        }
        if progress.has_vanished(input.now) {
            pending.push(verdict(move_state, Verdict::Undone, "vanished"));
            return;
        }
        if progress.is_step_due(input.now, evidence) {
            pending.extend(next_record(input, move_state, evidence));
        }
    }

    /// Returns the pending records whose wait is over, as far as the append budget allows.
    fn due_records(&mut self, input: DriverInput<'_>, pending: Vec<PendingRecord>) -> Vec<Record> {
        self.timers
            .retain(|id, _| pending.iter().any(|r| r.id == *id));
        if pending.is_empty() {
            return Vec::new();
        }
        let live = input.members.live_ids();
        for record in &pending {
            if !self.timers.contains_key(&record.id) {
                let rank = rank(&record.turn_key, &self.me, &live);
                let wait = rank * TURN_MS + self.jitter_ms(&record.turn_key);
                let timer = RetryTimer::new(input.now.plus_ms(wait));
                self.timers.insert(record.id.clone(), timer);
            }
        }
        let ready = |r: &PendingRecord| self.timers[&r.id].is_due(input.now);
        let ready: Vec<PendingRecord> = pending.into_iter().filter(ready).take(MAX_BATCH).collect();
        if ready.is_empty() || !self.bucket.take(input.now) {
            return Vec::new();
        }
        let mut records = Vec::new();
        for PendingRecord { id, turn_key, body } in ready {
            let jitter = self.jitter_ms(&turn_key);
            if let Some(timer) = self.timers.get_mut(&id) {
                timer.record_attempt(input.now, jitter);
            }
            records.push(Record {
                id,
                author: OperatorName::new(self.me.as_str()),
                at: input.wall,
                body,
            });
        }
        records
    }

    fn jitter_ms(&self, id: &str) -> u64 {
        rendezvous(self.me.as_str(), id) % JITTER_MS
    }
}

/// Returns the next step, or at full share the verdict `Done` if the new version had calls and the
/// deadline is far enough away.
fn next_record(
    input: DriverInput<'_>,
    move_state: &MoveState,
    evidence: Option<&MoveEvidence>,
) -> Option<PendingRecord> {
    if let Some(to) = move_state.next_share() {
        return Some(step(move_state, to));
    }
    let in_time = input.wall.plus_ms(DONE_MARGIN_MS) <= move_state.deadline;
    let used = evidence.is_some_and(|e| e.calls > 0);
    (in_time && used).then(|| verdict(move_state, Verdict::Done, "good"))
}

fn stop_fact(service: &ServiceName, move_state: &MoveState, reason: &str) -> Fact {
    Fact::Stop {
        service: service.clone(),
        version: move_state.to.clone(),
        plan: move_state.id.clone(),
        reason: reason.to_owned(),
    }
}

fn step(move_state: &MoveState, to: u16) -> PendingRecord {
    let body = Body::Step {
        plan: move_state.id.clone(),
        from: move_state.share,
        to,
    };
    pending_record(
        move_state,
        &format!("step/{to}"),
        &format!("step/{to}"),
        body,
    )
}

fn stop(service: &ServiceName, move_state: &MoveState, reason: &str) -> PendingRecord {
    let body = Body::Stop {
        service: service.clone(),
        version: move_state.to.clone(),
        plan: move_state.id.clone(),
        reason: reason.to_owned(),
    };
    pending_record(move_state, "stop", "undone", body)
}

/// Returns a verdict. Its id does not contain the reason, because one verdict of each kind is enough
/// even if the instances give different reasons.
fn verdict(move_state: &MoveState, verdict: Verdict, reason: &str) -> PendingRecord {
    let kind = match verdict {
        Verdict::Done => "done",
        Verdict::Undone => "undone",
    };
    let body = Body::Verdict {
        plan: move_state.id.clone(),
        verdict,
        reason: reason.to_owned(),
    };
    pending_record(move_state, kind, kind, body)
}

fn pending_record(move_state: &MoveState, kind: &str, turn_key: &str, body: Body) -> PendingRecord {
    PendingRecord {
        id: format!("{}/{kind}", move_state.id),
        turn_key: format!("{}/{turn_key}", move_state.id),
        body,
    }
}

#[cfg(test)]
mod tests;
