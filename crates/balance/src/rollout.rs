//! State of one rollout: the share of a service's requests that goes to the new version, and the
//! verdict.
//!
//! Every instance counts outcomes and reports them to its peers. The instance that has the duty
//! advances the stages and records the verdict. Each instance stops the rollout on its own as soon
//! as the merged evidence is bad, and reports the stop to the others.

use std::collections::BTreeMap;

use model::{InstanceId, Time};

use crate::{Evidence, Position, RolloutOrder, Verdict};

/// Share of the requests that go to the new version in each stage, in percent. The first share
/// above 0 stays below the 10 % that a bad version may get; the later ones reveal faults that occur
/// under load.
const STAGE_PERCENT: [u32; 5] = [0, 7, 25, 60, 100];
/// Earliest start of each stage, in percent of the rollout's time limit. Some faults only appear a
/// few seconds after the start, and the last stage must end within the time limit.
const STAGE_START_PERCENT: [u64; 5] = [0, 0, 42, 50, 58];
/// Earliest time of the verdict [`Verdict::Done`], in percent of the rollout's time limit.
const DONE_START_PERCENT: u64 = 70;
/// Outcomes of the new version in stage 1, over all instances, without which no later stage begins
/// before [`SHORT_START_PERCENT`].
const MIN_OUTCOMES: u32 = 30;
/// Time from which later stages begin with fewer than [`MIN_OUTCOMES`], in percent of the rollout's
/// time limit.
const SHORT_START_PERCENT: u64 = 60;
/// Shortest duration of a stage, in milliseconds. Covers two exchanges of evidence and one slow
/// request.
const MIN_STAGE_MS: u64 = 1_000;

/// A stage of a rollout, from 0 (no requests go to the new version) to [`Stage::LAST`] (all do).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage(pub u8);

impl Stage {
    /// The stage in which all requests go to the new version.
    pub const LAST: Self = Self(4);

    /// Returns the share of the requests that go to the new version, in percent.
    #[must_use]
    pub fn share_percent(self) -> u32 {
        STAGE_PERCENT[usize::from(self.0.min(Self::LAST.0))]
    }
}

/// State of one rollout as this instance knows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The operator's order.
    pub order: RolloutOrder,
    /// [`Verdict::Running`] until the rollout has ended.
    pub verdict: Verdict,
    /// Current stage.
    pub stage: Stage,
    /// Whether this instance or a peer has found the evidence to be bad.
    pub is_stopped: bool,
    /// Outcomes of the requests of this instance.
    pub own_evidence: Evidence,
    /// When this instance first saw the order.
    pub first_seen: Time,
    /// Verdict that the store holds for this order, which may be [`Verdict::Running`], and the
    /// position of the order that it names.
    pub recorded: Option<(Verdict, Position)>,
    /// Positions that the order had in earlier eras of the store.
    old_positions: Vec<Position>,
    /// When this instance entered the current stage.
    stage_start: Time,
    /// Latest report of each peer process, by name and incarnation.
    peer_reports: BTreeMap<(InstanceId, u64), (Evidence, Stage)>,
    /// Requests since the start of the stage: those to the new version, and all.
    routed: (u64, u64),
}

impl Rollout {
    /// Creates the state of a rollout whose order was first seen at `now`.
    #[must_use]
    pub fn new(order: RolloutOrder, now: Time) -> Self {
        Self {
            order,
            verdict: Verdict::Running,
            stage: Stage::default(),
            is_stopped: false,
            own_evidence: Evidence::default(),
            first_seen: now,
            recorded: None,
            old_positions: Vec::new(),
            stage_start: now,
            peer_reports: BTreeMap::new(),
            routed: (0, 0),
        }
    }

    /// Records that the operator has written the order again, at `position`.
    pub fn set_position(&mut self, position: Position) {
        let old = std::mem::replace(&mut self.order.position, position);
        self.old_positions.push(old);
    }

    /// Returns whether the order is or was at `position`.
    #[must_use]
    pub fn had_position(&self, position: Position) -> bool {
        self.order.position == position || self.old_positions.contains(&position)
    }

    /// Returns whether the store holds `verdict` for this order.
    #[must_use]
    pub fn is_recorded(&self, verdict: Verdict) -> bool {
        self.recorded == Some((verdict, self.order.position))
    }

    /// Records the latest report of the peer process `from` (name and incarnation). Enters the
    /// peer's stage if it is a later one.
    pub fn record_report(
        &mut self,
        from: (InstanceId, u64),
        stage: Stage,
        is_stopped: bool,
        evidence: Evidence,
        now: Time,
    ) {
        self.peer_reports.insert(from, (evidence, stage));
        self.record_stage(stage, is_stopped, now);
    }

    /// Enters the stage that another instance knows if it is a later one. `is_stopped` states whether
    /// it knows that the rollout was stopped.
    pub fn record_stage(&mut self, stage: Stage, is_stopped: bool, now: Time) {
        self.is_stopped |= is_stopped;
        if stage > self.stage {
            self.enter(stage, now);
        }
    }

    /// Returns the merged evidence of this instance and its peers.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own_evidence.clone();
        for (evidence, _) in self.peer_reports.values() {
            sum.merge(evidence);
        }
        sum
    }

    /// Stops the rollout if the merged evidence is bad. Returns whether this call stopped it.
    pub fn stop_if_bad(&mut self) -> bool {
        let stops =
            !self.is_stopped && self.verdict == Verdict::Running && self.evidence().is_bad();
        self.is_stopped |= stops;
        stops
    }

    /// Enters the next stage if it is due. Only the instance that has the duty for this rollout
    /// calls this. `has_targets` states whether a target of the new version can take requests;
    /// `live` holds the live peer processes (name and incarnation). Returns the verdict to record,
    /// if any.
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
        let passed_percent = now.since_us(self.first_seen) / 10 / self.order.limit_ms.max(1);
        let stage_ms = now.since_us(self.stage_start) / 1_000;
        if self.stage == Stage::LAST {
            let all_in_last = live.iter().all(|process| {
                self.peer_reports
                    .get(process)
                    .is_some_and(|(_, stage)| *stage == Stage::LAST)
            });
            let is_settled =
                all_in_last && stage_ms >= MIN_STAGE_MS && passed_percent >= DONE_START_PERCENT;
            return is_settled.then_some(Verdict::Done);
        }
        let next = Stage(self.stage.0 + 1);
        let is_due = passed_percent >= STAGE_START_PERCENT[usize::from(next.0)];
        let outcomes = self.evidence().stage_tally(1);
        let has_outcomes = next.0 < 2
            || passed_percent >= SHORT_START_PERCENT
            || outcomes.good + outcomes.bad >= MIN_OUTCOMES;
        let stage_lasted = next.0 < 2 || stage_ms >= MIN_STAGE_MS;
        if has_targets && is_due && has_outcomes && stage_lasted {
            self.enter(next, now);
        }
        None
    }

    /// Decides whether the next request goes to the new version, and counts it. Counting instead of
    /// drawing at random keeps the stage's share exactly.
    pub fn next_is_new(&mut self) -> bool {
        let is_new = match self.verdict {
            Verdict::Done => true,
            Verdict::Undone => false,
            Verdict::Running if self.is_stopped => false,
            Verdict::Running => {
                let (new, all) = self.routed;
                let share = u64::from(self.stage.share_percent());
                share == 100 || (new + 1) * 100 <= (all + 1) * share
            }
        };
        self.routed.1 += 1;
        if is_new && self.stage != Stage::LAST {
            self.routed.0 += 1;
        }
        is_new
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_start = now;
        // The share holds within a stage: a larger share must not be made up for earlier requests.
        self.routed = (0, 0);
    }
}

#[cfg(test)]
mod tests;
