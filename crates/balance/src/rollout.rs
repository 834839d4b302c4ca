//! State of one rollout: the share of a service's requests that goes to the new version, and the
//! verdict.
//!
//! Every instance counts outcomes and reports them to its peers. The instance that has the duty
//! advances the stages and records the verdict. Each instance stops the rollout on its own as soon
//! as the merged evidence is bad, and reports the stop to the others.
//!
//! A bad version may get a limited number of requests ([`ExposureLimits`]). The trial stages spend most of
//! it, mainly late, since some faults only appear some seconds after the start. All requests go to the new
//! version only once it has shown that it is good. One that has not when the time ends is rolled back.

use std::collections::{BTreeMap, BTreeSet};

use model::{InstanceId, Time, Version, rendezvous};

use crate::{Evidence, ExposureLimits, Position, RolloutOrder, Verdict};

/// End of each trial stage, in percent of the rollout's time limit. The verdict must be recorded and
/// known within the limit.
const TRIAL_END_PERCENT: [u64; 3] = [40, 58, 72];
/// Requests to the new version up to the end of each trial stage, as a fraction of those that a bad
/// version may get. Some more arrive before all instances know that a rollout is stopped.
const TRIAL_SPENT: [f64; 3] = [0.2, 0.75, 0.95];
/// Fraction of the requests that a bad version may get from which a version that has not shown that it is
/// good is rolled back.
const MAX_SPENT: f64 = 0.98;
/// Largest share of the requests that goes to the new version in a trial stage, in percent. The old
/// version must stay under observation as well.
const MAX_TRIAL_PERCENT: u32 = 65;
/// Earliest time of the verdict [`Verdict::Done`], in percent of the rollout's time limit.
const DONE_START_PERCENT: u64 = 70;
/// Time from which a version that no longer shows that it is good is rolled back, although it gets all
/// requests, in percent of the rollout's time limit.
const DONE_END_PERCENT: u64 = 92;
/// Time for which the service's requests are counted before the first trial stage, whose share depends on
/// their rate, in milliseconds.
const MIN_COUNTED_MS: u64 = 1_000;
/// Time until the instance with the duty knows of a request, and until all instances know of a stage or a
/// stop, in milliseconds: an exchange of evidence each.
const EXCHANGE_MS: u64 = 400;
/// Shortest duration of a stage, in milliseconds. Covers two exchanges of evidence and one slow
/// request.
const MIN_STAGE_MS: u64 = 1_000;

/// A stage of a rollout, from 0 (no requests go to the new version) to [`Stage::LAST`] (all do).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage(pub u8);

impl Stage {
    /// The first trial stage, in which few requests go to the new version.
    pub const FIRST_TRIAL: Self = Self(1);
    /// The trial stage for which the most requests are reserved.
    pub const MAIN_TRIAL: Self = Self(2);
    /// The trial stage for versions that have not shown yet whether they are good.
    pub const LAST_TRIAL: Self = Self(3);
    /// The stage in which all requests go to the new version.
    pub const LAST: Self = Self(4);

    /// Returns the number of the trial stage, from 0, or `None` if it is no trial stage.
    fn trial_index(self) -> Option<usize> {
        let is_trial = self >= Self::FIRST_TRIAL && self < Self::LAST;
        is_trial.then(|| usize::from(self.0) - 1)
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
    /// Share of the requests that go to the new version in the current stage, in percent.
    pub share_percent: u32,
    /// Whether this instance or a peer has found the evidence to be bad.
    pub is_stopped: bool,
    /// Outcomes of the requests of this instance.
    pub own_evidence: Evidence,
    /// When this instance first saw the order.
    pub first_seen: Time,
    /// Verdict that the store holds for this order, which may be [`Verdict::Running`], and the
    /// position of the order that it names.
    pub recorded: Option<(Verdict, Position)>,
    /// Versions of earlier orders that were rolled back. They are no old versions, as long as their targets
    /// run.
    rejected: BTreeSet<Version>,
    /// Positions that the order had in earlier eras of the store.
    old_positions: Vec<Position>,
    /// Name of this instance.
    own: InstanceId,
    limits: ExposureLimits,
    /// When this instance entered the current stage.
    stage_start: Time,
    /// Latest report of each peer process, by name and incarnation.
    peer_reports: BTreeMap<(InstanceId, u64), (Evidence, Stage)>,
    /// Requests since the start of the stage: those to the new version, and all.
    routed: (u64, u64),
}

impl Rollout {
    /// Creates the state of a rollout at the instance `own`, whose order was first seen at `now`.
    #[must_use]
    pub fn new(order: RolloutOrder, own: InstanceId, limits: ExposureLimits, now: Time) -> Self {
        Self {
            order,
            verdict: Verdict::Running,
            stage: Stage::default(),
            share_percent: 0,
            is_stopped: false,
            own_evidence: Evidence::default(),
            first_seen: now,
            recorded: None,
            rejected: BTreeSet::new(),
            old_positions: Vec::new(),
            own,
            limits,
            stage_start: now,
            peer_reports: BTreeMap::new(),
            routed: (0, 0),
        }
    }

    /// Takes over which versions were rolled back from the rollout that this one replaces.
    pub fn inherit_rejected(&mut self, earlier: &Self) {
        self.rejected.clone_from(&earlier.rejected);
        let was_rolled_back = earlier.is_stopped || earlier.verdict == Verdict::Undone;
        if was_rolled_back && earlier.verdict != Verdict::Done {
            self.rejected.insert(earlier.order.version.clone());
        }
        self.rejected.remove(&self.order.version);
    }

    /// Returns the versions of earlier orders that were rolled back.
    #[must_use]
    pub fn rejected(&self) -> &BTreeSet<Version> {
        &self.rejected
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
    /// peer's stage, which has the share `share_percent`, if it is a later one.
    pub fn record_report(
        &mut self,
        from: (InstanceId, u64),
        (stage, share_percent): (Stage, u32),
        is_stopped: bool,
        evidence: Evidence,
        now: Time,
    ) {
        self.peer_reports.insert(from, (evidence, stage));
        self.record_stage((stage, share_percent), is_stopped, now);
    }

    /// Enters the stage that another instance knows, which has the share `share_percent`, if it is a later
    /// one. `is_stopped` states whether it knows that the rollout was stopped.
    pub fn record_stage(
        &mut self,
        (stage, share_percent): (Stage, u32),
        is_stopped: bool,
        now: Time,
    ) {
        self.is_stopped |= is_stopped;
        if stage > self.stage {
            self.enter(stage, share_percent, now);
        } else if stage == self.stage {
            // Two instances that both took themselves for the one with the duty have chosen shares.
            self.share_percent = self.share_percent.min(share_percent);
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
        let evidence = self.evidence();
        let may_complete = evidence.is_good(Stage::MAIN_TRIAL.0)
            || (has_targets && self.is_rarely_used(&evidence, now));
        let passed_percent = self.passed_percent(now);
        if self.stage == Stage::LAST {
            return self.settle(may_complete, now, live);
        }
        let expected = self.expected_requests(&evidence, now);
        let is_spent = self.spent(&evidence, expected) >= MAX_SPENT * self.limits.allowed(expected);
        if !may_complete && (passed_percent >= TRIAL_END_PERCENT[2] || is_spent) {
            self.is_stopped = true;
            return Some(Verdict::Undone);
        }
        if let Some(next) = self.due_stage(may_complete, now)
            && has_targets
        {
            let share_percent = self.planned_percent(next, &evidence, now);
            self.enter(next, share_percent, now);
        }
        None
    }

    /// Returns the next stage if it is time for it. `may_complete` states whether all requests may go to
    /// the new version.
    fn due_stage(&self, may_complete: bool, now: Time) -> Option<Stage> {
        let passed_percent = self.passed_percent(now);
        let [first_end, main_end, _] = TRIAL_END_PERCENT;
        let stage_ms = now.since_us(self.stage_start) / 1_000;
        let is_due = |percent| stage_ms >= MIN_STAGE_MS && passed_percent >= percent;
        match self.stage {
            Stage::FIRST_TRIAL => is_due(first_end).then_some(Stage::MAIN_TRIAL),
            Stage::MAIN_TRIAL | Stage::LAST_TRIAL if may_complete => {
                is_due(main_end).then_some(Stage::LAST)
            }
            Stage::MAIN_TRIAL => is_due(main_end).then_some(Stage::LAST_TRIAL),
            Stage::LAST_TRIAL | Stage::LAST => None,
            _ => (now.since_us(self.first_seen) / 1_000 >= MIN_COUNTED_MS)
                .then_some(Stage::FIRST_TRIAL),
        }
    }

    /// Returns the verdict on a version that gets all requests, once all instances know it.
    fn settle(
        &mut self,
        may_complete: bool,
        now: Time,
        live: &[(InstanceId, u64)],
    ) -> Option<Verdict> {
        let passed_percent = self.passed_percent(now);
        if !may_complete {
            self.is_stopped = passed_percent >= DONE_END_PERCENT;
            return self.is_stopped.then_some(Verdict::Undone);
        }
        let all_in_last = live.iter().all(|process| {
            self.peer_reports
                .get(process)
                .is_some_and(|(_, stage)| *stage == Stage::LAST)
        });
        let stage_ms = now.since_us(self.stage_start) / 1_000;
        let is_settled =
            all_in_last && stage_ms >= MIN_STAGE_MS && passed_percent >= DONE_START_PERCENT;
        is_settled.then_some(Verdict::Done)
    }

    /// Returns the time since the order, in percent of the rollout's time limit.
    fn passed_percent(&self, now: Time) -> u64 {
        now.since_us(self.first_seen) / 10 / self.order.limit_ms.max(1)
    }

    /// Returns the number of requests that the service gets within the time limit at its present rate.
    fn expected_requests(&self, evidence: &Evidence, now: Time) -> f64 {
        let passed_ms = (now.since_us(self.first_seen) / 1_000).max(1);
        let requests = f64::from(evidence.outcomes());
        requests / passed_ms as f64 * self.order.limit_ms as f64
    }

    /// Returns the number of requests that the new version has got, those included of which this instance
    /// has not been told yet. The service gets `expected` requests within the time limit.
    fn spent(&self, evidence: &Evidence, expected: f64) -> f64 {
        let untold_ms = EXCHANGE_MS as f64 / self.order.limit_ms.max(1) as f64;
        let untold = expected * untold_ms * f64::from(self.share_percent) / 100.0;
        f64::from(evidence.sent_to_new()) + untold
    }

    /// Whether the service has so few requests that a bad version may get them all, and too few to show
    /// that a version is good.
    fn is_rarely_used(&self, evidence: &Evidence, now: Time) -> bool {
        self.expected_requests(evidence, now) <= self.limits.slack && evidence.is_rather_good()
    }

    /// Returns the share of the requests, in percent, with which the new version gets what it may get up to
    /// the end of `stage`.
    fn planned_percent(&self, stage: Stage, evidence: &Evidence, now: Time) -> u32 {
        let Some(index) = stage.trial_index() else {
            return 100;
        };
        let expected = self.expected_requests(evidence, now);
        let planned = TRIAL_SPENT[index] * self.limits.allowed(expected);
        let left = (planned - self.spent(evidence, expected)).max(0.0);
        let end_ms = TRIAL_END_PERCENT[index] * self.order.limit_ms / 100 + EXCHANGE_MS;
        let left_ms = end_ms.saturating_sub(now.since_us(self.first_seen) / 1_000);
        let requests = expected * left_ms as f64 / self.order.limit_ms.max(1) as f64;
        (1..MAX_TRIAL_PERCENT)
            .rev()
            .find(|percent| f64::from(*percent) / 100.0 * requests <= left)
            .unwrap_or(1)
    }

    /// Returns the key by which targets of the new version are ranked in a trial stage, in which as few of
    /// them as possible take all its requests, so that they are under load. `None` in other stages.
    #[must_use]
    pub fn trial_key(&self) -> Option<u64> {
        let is_trial = self.verdict == Verdict::Running && self.stage.trial_index().is_some();
        is_trial.then(|| {
            let stage = self.stage.0.to_string();
            rendezvous(self.order.version.as_str(), &stage)
        })
    }

    /// Decides whether the next request goes to the new version, and counts it. Counting instead of
    /// drawing at random keeps the stage's share exactly. Instances begin to count at different points, so
    /// that the share also holds where each of them gets only a few requests in a stage.
    pub fn next_is_new(&mut self) -> bool {
        let is_new = match self.verdict {
            Verdict::Done => true,
            Verdict::Undone => false,
            Verdict::Running if self.is_stopped => false,
            Verdict::Running => {
                let (new, all) = self.routed;
                let share = u64::from(self.share_percent);
                share == 100 || (new + 1) * 100 <= (all + 1) * share + self.offset()
            }
        };
        self.routed.1 += 1;
        if is_new && self.stage != Stage::LAST {
            self.routed.0 += 1;
        }
        is_new
    }

    /// Returns the point at which this instance begins to count in the current stage, in hundredths of a
    /// request.
    fn offset(&self) -> u64 {
        let stage = format!("{}/{}", self.order.position, self.stage.0);
        rendezvous(self.own.as_str(), &stage) % 100
    }

    fn enter(&mut self, stage: Stage, share_percent: u32, now: Time) {
        self.stage = stage;
        self.share_percent = share_percent;
        self.stage_start = now;
        // The share holds within a stage: a larger share must not be made up for earlier requests.
        self.routed = (0, 0);
    }
}

#[cfg(test)]
mod tests;
