//! A target as this instance uses it.

use std::{collections::BTreeMap, sync::Arc};

use model::{InstanceId, Time};

use crate::{
    TargetState, TargetView, health::Health, inherited_calls::InheritedCalls, lent_slot::LentSlot,
    limit::Limit, ownership::Ownership,
};

/// Weight of a new sample in the relative service time. With log-normal service of sigma 0.8, a weight
/// of 0.25 took sound targets for slow and cut work at 130% load to three quarters.
const SPEED_WEIGHT: f64 = 0.05;
/// Relative service time from which a target is slow.
pub(crate) const SLOW: f64 = 3.0;
/// Consecutive slow calls of a target that was not slow before, after which it counts as cold again.
/// One slow call proves nothing: with log-normal service of sigma 0.5, 1 of 70 takes over 3 medians.
const SLOW_CALLS: u32 = 4;

/// A target with its slots in use.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Configuration and membership.
    pub(crate) view: Arc<TargetView>,
    /// Standing of this instance.
    pub(crate) ownership: Ownership,
    /// Concurrency limit.
    pub(crate) limit: Limit,
    /// Failures.
    pub(crate) health: Health,
    /// Service time over the service's median, exponentially weighted.
    pub(crate) speed: f64,
    /// Attempts of this instance on its own slots.
    pub(crate) own: u32,
    /// Slots lent, by loan.
    pub(crate) lent: BTreeMap<u64, LentSlot>,
    /// Calls still in progress from previous owners.
    pub(crate) inherited: BTreeMap<InstanceId, InheritedCalls>,
    /// Peers that have not answered a claim yet.
    pub(crate) asked: Vec<InstanceId>,
    /// Smallest limit that an answer to the claim named.
    pub(crate) adopted: Option<u32>,
    /// Claims sent since the last change of owner.
    pub(crate) claims: u32,
    /// When a claim without an answer is repeated.
    pub(crate) claim_at: Time,
    /// Calls in progress as last told to the new owner.
    pub(crate) told: Option<u32>,
    /// Last start by this instance.
    pub(crate) started: Time,
    /// Process that said it is draining.
    pub(crate) draining: Option<u64>,
    held: bool,
    heir: Option<InstanceId>,
    listed: bool,
    slow_calls: u32,
}

impl Target {
    /// A target that just appeared.
    pub(crate) fn new(view: Arc<TargetView>) -> Self {
        let limit = Limit::cold(view.slots);
        Self {
            view,
            ownership: Ownership::Foreign,
            limit,
            health: Health::default(),
            speed: 1.0,
            own: 0,
            lent: BTreeMap::new(),
            inherited: BTreeMap::new(),
            asked: Vec::new(),
            adopted: None,
            claims: 0,
            claim_at: Time::default(),
            told: None,
            started: Time::default(),
            draining: None,
            held: false,
            heir: None,
            listed: true,
            slow_calls: 0,
        }
    }

    /// Slots in use.
    pub(crate) fn used(&self) -> u32 {
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        let inherited: u32 = self.inherited.values().map(|i| i.busy).sum();
        self.own.saturating_add(lent).saturating_add(inherited)
    }

    /// Whether the target may receive new work, whoever owns it.
    pub(crate) fn is_open(&self) -> bool {
        self.listed
            && self.view.state == TargetState::Usable
            && self.draining != Some(self.view.incarnation)
    }

    /// Calls that the target may run at a time now. `serve_all` ignores ejections.
    pub(crate) fn cap(&self, now: Time, serve_all: bool) -> u32 {
        if self.ownership != Ownership::Active || !self.is_open() {
            return 0;
        }
        let health = if serve_all {
            u32::MAX
        } else {
            self.health.max_calls(now)
        };
        self.limit.now().min(health)
    }

    /// Free slots that this instance may hand out.
    pub(crate) fn free(&self, now: Time, serve_all: bool) -> u32 {
        self.cap(now, serve_all).saturating_sub(self.used())
    }

    /// Slots in use without the calls that `peer` reported itself.
    pub(crate) fn used_without(&self, peer: &InstanceId) -> u32 {
        let reported = self.inherited.get(peer).map_or(0, |i| i.busy);
        self.used().saturating_sub(reported)
    }

    /// Begins to hand out slots.
    pub(crate) fn take(&mut self) {
        self.ownership = Ownership::Active;
        self.held = true;
        self.heir = None;
    }

    /// The limit if this instance handed out the slots last, else 0. Only the first heir hears it: for
    /// others it may be out of date, because the heir may hand out the slots by now.
    pub(crate) fn limit_for(&mut self, heir: &InstanceId) -> u32 {
        if !self.held || self.heir.as_ref().is_some_and(|h| h != heir) {
            return 0;
        }
        self.heir = Some(heir.clone());
        self.limit.now()
    }

    /// The target is no longer listed.
    pub(crate) fn close(&mut self) {
        self.listed = false;
    }

    /// Counts calls that a previous owner still has in progress. An answer to a claim and a report
    /// with a newer view replace what was known; one that was overtaken or repeated must not raise it.
    pub(crate) fn inherit(&mut self, peer: &InstanceId, report: InheritedCalls) {
        let asked = self.asked.contains(peer);
        let known = self.inherited.entry(peer.clone()).or_insert(report);
        if report.list_version > known.list_version
            || (asked && report.list_version == known.list_version)
        {
            *known = report;
        } else if report.list_version == known.list_version {
            known.busy = known.busy.min(report.busy);
        }
    }

    /// Takes a peer's statement that it hands out no slots. `limit` is its limit if it did before.
    pub(crate) fn answered(&mut self, now: Time, peer: &InstanceId, limit: u32) {
        self.asked.retain(|p| p != peer);
        match &mut self.ownership {
            // The answer may be older than the one of the peer that goes first: claim again.
            Ownership::Yielded { until, .. } if limit > 0 => *until = now,
            Ownership::Claiming { .. } => self.end_claim(limit),
            Ownership::Active | Ownership::Foreign | Ownership::Yielded { .. } => {}
        }
    }

    /// Counts an answer to a claim. All peers must answer: the previous owner by this instance's view
    /// need not be the last one that handed out slots.
    fn end_claim(&mut self, limit: u32) {
        if limit > 0 {
            let least = self.adopted.map_or(limit, |adopted| adopted.min(limit));
            self.adopted = Some(least);
        }
        if !self.asked.is_empty() {
            return;
        }
        if let Some(limit) = self.adopted.take() {
            self.limit.adopt(limit);
        }
        self.take();
    }

    /// Whether recent calls took much longer than on other targets.
    pub(crate) fn is_slow(&self) -> bool {
        self.speed > SLOW
    }

    /// Takes the relative service time of a good call.
    pub(crate) fn good(&mut self, ratio: f64) {
        if self.health.record_success() {
            self.limit.chill();
        }
        let was_slow = self.is_slow();
        self.slow_calls = if ratio > SLOW { self.slow_calls + 1 } else { 0 };
        self.speed += SPEED_WEIGHT * (ratio - self.speed);
        if self.slow_calls == SLOW_CALLS {
            self.limit.chill();
        } else if self.is_slow() {
            self.limit.cut();
        } else if !was_slow {
            self.limit.good();
        }
    }

    /// Takes the relative time of an attempt that was cancelled, for example because its hedge won. It
    /// only shows that the target takes at least as long.
    pub(crate) fn outrun(&mut self, ratio: f64) {
        if ratio > self.speed {
            self.speed += SPEED_WEIGHT * (ratio - self.speed);
        }
    }

    /// Takes a failure. `sheds` if the upstream is overloaded rather than faulty. `jitter` is in 0..1.
    /// Returns whether the target is out now and was not before.
    pub(crate) fn bad(&mut self, now: Time, sheds: bool, jitter: f64) -> bool {
        if sheds {
            self.limit.cut();
        }
        let before = self.health.is_ejected();
        self.health.record_failure(now, jitter);
        !before && self.health.is_ejected()
    }

    /// The upstream said that it is cold.
    pub(crate) fn cold(&mut self) {
        self.limit.chill();
    }

    /// Takes a new view of the same target. A new process, and one that was out, is cold.
    pub(crate) fn update(&mut self, view: &Arc<TargetView>) {
        let usable = |v: &TargetView| v.state == TargetState::Usable;
        let process = view.incarnation != self.view.incarnation;
        let back = usable(view) && !usable(&self.view);
        self.limit.set_most(view.slots);
        self.listed = true;
        if view.owner != self.view.owner && self.ownership == Ownership::Foreign {
            self.held = false;
        }
        if process || back {
            self.limit.chill();
            self.health = Health::default();
            self.speed = 1.0;
            self.slow_calls = 0;
        }
        self.view = Arc::clone(view);
    }
}

#[cfg(test)]
mod tests;
