//! Drives version moves: decides which steps, stops and verdicts this instance proposes and when.
//!
//! Every instance runs the same rules on its own evidence. Turns by rank keep most of them from
//! proposing the same, and the fold makes what is proposed twice a no-op. Proposal ids follow from
//! their content, so an append whose answer was lost is repeated under the same id.

mod bucket;
mod input;
mod intent;
mod output;
mod watch;

use std::collections::BTreeMap;

use model::{InstanceId, OperatorName, ServiceName, Time, rendezvous};
use policy::moves::Assessment;
use wire::{Body, Fact, Record, Verdict};

pub use self::{
    bucket::TokenBucket,
    input::{DriverInput, MoveEvidence},
    output::DriverOutput,
};
use self::{intent::Intent, watch::Watch};
use crate::{
    MoveState,
    snapshot::rank,
    views::{CLOCK_BOUND_MS, stop_reason},
};

/// Wait for each instance of a higher rank. A proposal comes back from the log within two batches
/// of 100 ms when the log is well.
const TURN_MS: u64 = 200;
const JITTER_MS: u64 = 100;
/// Records of one append: the stops and verdicts of 8 moves at a time.
const MAX_BATCH: usize = 16;
/// Time between ticks above which the instance was paused.
const PAUSE_MS: u64 = 1_000;
/// Latest proposal of `Done` before the deadline.
const DONE_MARGIN_MS: u64 = 2_000;

/// A record that the rules ask for now.
struct Want {
    id: String,
    /// Decides whose turn it is. A stop and its verdict share one, so that they share an append.
    turn: String,
    body: Body,
}

/// Driver of all moves in one instance.
#[derive(Debug)]
pub struct Driver {
    me: InstanceId,
    bucket: TokenBucket,
    watches: BTreeMap<String, Watch>,
    intents: BTreeMap<String, Intent>,
    last: Option<Time>,
}

impl Driver {
    /// A driver that has seen no move yet.
    #[must_use]
    pub fn new(me: &InstanceId, now: Time) -> Self {
        Self {
            me: me.clone(),
            bucket: TokenBucket::new(now),
            watches: BTreeMap::new(),
            intents: BTreeMap::new(),
            last: None,
        }
    }

    /// What to append and tell now. To be called every 100 ms while the fold holds an open move.
    pub fn tick(&mut self, input: DriverInput<'_>) -> DriverOutput {
        self.note_pause(input.now);
        let mut facts = Vec::new();
        let mut wants = Vec::new();
        let open = |plan: &str| input.fold.find_move(plan).is_some_and(|(_, m)| m.is_open());
        self.watches.retain(|plan, _| open(plan));
        for (service, shift) in input.fold.open_moves() {
            self.decide(input, service, shift, &mut wants, &mut facts);
        }
        // Stops and verdicts first, in case not everything fits.
        wants.sort_by_key(|w| matches!(w.body, Body::Step { .. }));
        let records = self.due(input, wants);
        DriverOutput { records, facts }
    }

    /// A paused instance takes its turn anew, and what it saw missing may have come back meanwhile.
    fn note_pause(&mut self, now: Time) {
        let last = self.last.replace(now);
        if last.is_some_and(|t| now.since_us(t) > PAUSE_MS * 1_000) {
            self.intents.clear();
            self.watches.values_mut().for_each(Watch::forget_missing);
        }
    }

    /// The rules for one move.
    fn decide(
        &mut self,
        input: DriverInput<'_>,
        service: &ServiceName,
        shift: &MoveState,
        wants: &mut Vec<Want>,
        facts: &mut Vec<Fact>,
    ) {
        let evidence = input.evidence.get(&shift.plan);
        let watch = self.watches.entry(shift.plan.clone());
        let watch = watch.or_insert_with(|| Watch::new(input, shift));
        watch.update(input, service, shift);

        let bad = evidence.and_then(|e| match &e.opinion {
            Assessment::Bad { reason } => Some(reason.as_str()),
            _ => None,
        });
        let told = stop_reason(input.facts, &shift.plan);
        if let Some(reason) = bad
            && told.is_none()
        {
            facts.push(stop_fact(service, shift, reason));
        }
        let stopped = shift.stop.as_deref().or(told).or(bad);
        if let Some(reason) = stopped {
            if shift.stop.is_none() {
                wants.push(stop(service, shift, reason));
            }
            wants.push(verdict(shift, Verdict::Undone, reason));
            return;
        }
        if input.wall > shift.deadline.plus_ms(CLOCK_BOUND_MS) {
            let idle = evidence.is_none_or(|e| e.calls == 0);
            let reason = if idle { "no_traffic" } else { "deadline" };
            wants.push(verdict(shift, Verdict::Undone, reason));
            return;
        }
        if watch.is_vanished(input.now) {
            wants.push(verdict(shift, Verdict::Undone, "vanished"));
            return;
        }
        if watch.may_advance(input.now, evidence) {
            wants.extend(advance(input, shift, evidence));
        }
    }

    /// The wanted records whose turn it is, as far as the append budget allows.
    fn due(&mut self, input: DriverInput<'_>, wants: Vec<Want>) -> Vec<Record> {
        self.intents
            .retain(|id, _| wants.iter().any(|w| w.id == *id));
        if wants.is_empty() {
            return Vec::new();
        }
        let live = input.members.live_ids();
        for want in &wants {
            if !self.intents.contains_key(&want.id) {
                let rank = rank(&want.turn, &self.me, &live);
                let wait = rank * TURN_MS + self.jitter_ms(&want.turn);
                let intent = Intent::new(input.now.plus_ms(wait));
                self.intents.insert(want.id.clone(), intent);
            }
        }
        let ready = |w: &Want| self.intents[&w.id].is_due(input.now);
        let ready: Vec<Want> = wants.into_iter().filter(ready).take(MAX_BATCH).collect();
        if ready.is_empty() || !self.bucket.take(input.now) {
            return Vec::new();
        }
        let mut records = Vec::new();
        for Want { id, turn, body } in ready {
            let jitter = self.jitter_ms(&turn);
            if let Some(intent) = self.intents.get_mut(&id) {
                intent.note_made(input.now, jitter);
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

/// The next step, or the verdict at full share while there is time for it.
fn advance(
    input: DriverInput<'_>,
    shift: &MoveState,
    evidence: Option<&MoveEvidence>,
) -> Option<Want> {
    if let Some(to) = shift.next_share() {
        return Some(step(shift, to));
    }
    let in_time = input.wall.plus_ms(DONE_MARGIN_MS) <= shift.deadline;
    let used = evidence.is_some_and(|e| e.calls > 0);
    (in_time && used).then(|| verdict(shift, Verdict::Done, "good"))
}

fn stop_fact(service: &ServiceName, shift: &MoveState, reason: &str) -> Fact {
    Fact::Stop {
        service: service.clone(),
        version: shift.to.clone(),
        plan: shift.plan.clone(),
        reason: reason.to_owned(),
    }
}

fn step(shift: &MoveState, to: u16) -> Want {
    let body = Body::Step {
        plan: shift.plan.clone(),
        from: shift.share,
        to,
    };
    want(shift, &format!("step/{to}"), &format!("step/{to}"), body)
}

fn stop(service: &ServiceName, shift: &MoveState, reason: &str) -> Want {
    let body = Body::Stop {
        service: service.clone(),
        version: shift.to.clone(),
        plan: shift.plan.clone(),
        reason: reason.to_owned(),
    };
    want(shift, "stop", "undone", body)
}

/// The reason is not part of the id: whatever the reasons, one verdict of each kind is enough.
fn verdict(shift: &MoveState, verdict: Verdict, reason: &str) -> Want {
    let kind = match verdict {
        Verdict::Done => "done",
        Verdict::Undone => "undone",
    };
    let body = Body::Verdict {
        plan: shift.plan.clone(),
        verdict,
        reason: reason.to_owned(),
    };
    want(shift, kind, kind, body)
}

fn want(shift: &MoveState, kind: &str, turn: &str, body: Body) -> Want {
    Want {
        id: format!("{}/{kind}", shift.plan),
        turn: format!("{}/{turn}", shift.plan),
        body,
    }
}

#[cfg(test)]
mod tests;
