//! One rollout: which part of a service's requests goes to the new version, and when it is settled.
//!
//! Every instance counts outcomes and tells the others. One of them moves the stages and writes the
//! verdict; each stops by itself as soon as the merged evidence is bad, and that fact spreads.

use std::collections::BTreeMap;

use model::{InstanceId, Time};

use crate::{Evidence, RolloutOrder, Verdict};

/// Share of the requests that go to the new version in each stage, in percent. The first stays below
/// the tenth that a bad version may get; the next ones show faults that need load.
const STAGE_SHARES: [u32; 5] = [0, 7, 25, 60, 100];
/// When a stage may begin, in percent of the time allowed. Late faults begin within some seconds of
/// the start, and the last stage must be over before the time is.
const STAGE_STARTS: [u64; 5] = [0, 0, 42, 50, 58];
/// When a verdict may be given, in percent of the time allowed.
const DONE_START: u64 = 70;
/// Requests that the new version must have answered in the first stage, over all instances, unless
/// time gets short.
const MIN_TRIALS: u32 = 30;
/// When stages move on with fewer trials, in percent of the time allowed.
const SHORT_START: u64 = 60;
/// Shortest time for a stage, in milliseconds: two exchanges of evidence and a slow request.
const MIN_STAGE_MS: u64 = 1_000;

/// A stage of a rollout, from 0 (nothing to the new version) to [`Stage::LAST`] (everything).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage(pub u8);

impl Stage {
    /// The stage in which all requests go to the new version.
    pub const LAST: Self = Self(4);

    /// Share of the requests for the new version, in percent.
    #[must_use]
    pub fn share_percent(self) -> u32 {
        STAGE_SHARES[usize::from(self.0.min(Self::LAST.0))]
    }
}

/// What this instance knows of one rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// How it ended, or that it has not.
    pub verdict: Verdict,
    /// Current stage.
    pub stage: Stage,
    /// Whether the evidence was bad, here or at another instance.
    pub is_stopped: bool,
    /// What this instance has seen.
    pub own_evidence: Evidence,
    /// When the order was first seen.
    pub first_seen: Time,
    /// Whether the store holds a word of this system on the order.
    pub is_recorded: bool,
    stage_at: Time,
    others: BTreeMap<(InstanceId, u64), (Evidence, Stage)>,
    sent: (u64, u64),
}

impl Rollout {
    /// A rollout that was ordered.
    #[must_use]
    pub fn new(order: RolloutOrder, now: Time) -> Self {
        Self {
            order,
            verdict: Verdict::Running,
            stage: Stage::default(),
            is_stopped: false,
            own_evidence: Evidence::default(),
            first_seen: now,
            is_recorded: false,
            stage_at: now,
            others: BTreeMap::new(),
            sent: (0, 0),
        }
    }

    /// Takes in what another process says of this rollout.
    pub fn record_report(
        &mut self,
        from: (InstanceId, u64),
        stage: Stage,
        is_stopped: bool,
        evidence: Evidence,
        now: Time,
    ) {
        self.others.insert(from, (evidence, stage));
        self.is_stopped |= is_stopped;
        if stage > self.stage {
            self.enter(stage, now);
        }
    }

    /// All evidence.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own_evidence.clone();
        for (evidence, _) in self.others.values() {
            sum.merge(evidence);
        }
        sum
    }

    /// Stops the rollout if the evidence is bad; whether that is news.
    pub fn stop_if_bad(&mut self) -> bool {
        let news = !self.is_stopped && self.verdict == Verdict::Running && self.evidence().is_bad();
        self.is_stopped |= news;
        news
    }

    /// Moves the stages, at the one instance that does. `has_targets`: targets of the new version can
    /// take requests. `live`: processes that take requests. Returns the verdict to be written.
    pub fn advance(
        &mut self,
        now: Time,
        has_targets: bool,
        live: &[(InstanceId, u64)],
    ) -> Option<Verdict> {
        if self.verdict != Verdict::Running {
            return None;
        }
        if self.is_stopped {
            return Some(Verdict::Undone);
        }
        let passed = now.since_us(self.first_seen) / 10 / self.order.limit_ms.max(1);
        let since_stage = now.since_us(self.stage_at) / 1_000;
        if self.stage == Stage::LAST {
            let all = live.iter().all(|name| {
                self.others
                    .get(name)
                    .is_some_and(|(_, stage)| *stage == Stage::LAST)
            });
            let settled = all && since_stage >= MIN_STAGE_MS && passed >= DONE_START;
            return settled.then_some(Verdict::Done);
        }
        let next = Stage(self.stage.0 + 1);
        let is_due = passed >= STAGE_STARTS[usize::from(next.0)];
        let tried = self.evidence().stage_tally(1);
        let enough = next.0 < 2 || passed >= SHORT_START || tried.good + tried.bad >= MIN_TRIALS;
        let rested = next.0 < 2 || since_stage >= MIN_STAGE_MS;
        if has_targets && is_due && enough && rested {
            self.enter(next, now);
        }
        None
    }

    /// Whether the next request goes to the new version. Counts, so that the share is kept exactly.
    pub fn next_is_new(&mut self) -> bool {
        let is_new = match self.verdict {
            Verdict::Done => true,
            Verdict::Undone => false,
            Verdict::Running if self.is_stopped => false,
            Verdict::Running => {
                let (new, all) = self.sent;
                let share = u64::from(self.stage.share_percent());
                share == 100 || (new + 1) * 100 <= (all + 1) * share
            }
        };
        self.sent.1 += 1;
        if is_new && self.stage != Stage::LAST {
            self.sent.0 += 1;
        }
        is_new
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_at = now;
        // Shares count from here; what was sent in earlier stages is no debt.
        self.sent = (0, 0);
    }
}

#[cfg(test)]
mod tests;
