//! A target as this instance uses it.

use std::{collections::BTreeMap, sync::Arc};

use model::{InstanceId, Time};

use crate::{
    TargetState, TargetView, health::Health, inherited_calls::InheritedCalls, lent_slot::LentSlot,
    limit::Limit, ownership::Ownership,
};

/// Weight of a new sample in the relative service time. With log-normal service of sigma 0.8, a weight
/// of 0.25 took sound targets for slow and cut work at 130% load to three quarters.
const SERVICE_RATIO_WEIGHT: f64 = 0.05;
/// Relative service time from which a target is slow.
pub(crate) const SLOW_RATIO: f64 = 3.0;
/// Consecutive slow calls of a target that was not slow before, after which it counts as cold again.
/// One slow call proves nothing: with log-normal service of sigma 0.5, 1 of 70 takes over 3 medians.
const SLOW_STREAK: u32 = 4;

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
    pub(crate) service_ratio: f64,
    /// Attempts of this instance on its own slots.
    pub(crate) own_attempts: u32,
    /// Slots lent, by loan.
    pub(crate) lent: BTreeMap<u64, LentSlot>,
    /// Calls still in progress from previous owners.
    pub(crate) inherited: BTreeMap<InstanceId, InheritedCalls>,
    /// Peers that have not answered a claim yet.
    pub(crate) pending_peers: Vec<InstanceId>,
    /// Smallest limit that an answer to the claim named.
    pub(crate) reported_limit: Option<u32>,
    /// Claims sent since the last change of owner.
    pub(crate) claims_sent: u32,
    /// When a claim without an answer is repeated.
    pub(crate) next_claim: Time,
    /// Calls in progress as last told to the new owner.
    pub(crate) reported_busy: Option<u32>,
    /// Last start by this instance.
    pub(crate) last_start: Time,
    /// Process that said it is draining.
    pub(crate) draining_incarnation: Option<u64>,
    last_held: bool,
    successor: Option<InstanceId>,
    listed: bool,
    slow_streak: u32,
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
            service_ratio: 1.0,
            own_attempts: 0,
            lent: BTreeMap::new(),
            inherited: BTreeMap::new(),
            pending_peers: Vec::new(),
            reported_limit: None,
            claims_sent: 0,
            next_claim: Time::default(),
            reported_busy: None,
            last_start: Time::default(),
            draining_incarnation: None,
            last_held: false,
            successor: None,
            listed: true,
            slow_streak: 0,
        }
    }

    /// Slots in use.
    pub(crate) fn used_slots(&self) -> u32 {
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        let inherited: u32 = self.inherited.values().map(|i| i.busy).sum();
        self.own_attempts
            .saturating_add(lent)
            .saturating_add(inherited)
    }

    /// Whether the target may receive new work, whoever owns it.
    pub(crate) fn accepts_calls(&self) -> bool {
        self.listed
            && self.view.state == TargetState::Usable
            && self.draining_incarnation != Some(self.view.incarnation)
    }

    /// Calls that the target may run at a time now. `serve_all` ignores ejections.
    pub(crate) fn capacity(&self, now: Time, ignore_ejections: bool) -> u32 {
        if self.ownership != Ownership::Active || !self.accepts_calls() {
            return 0;
        }
        let health = if ignore_ejections {
            u32::MAX
        } else {
            self.health.max_calls(now)
        };
        self.limit.current().min(health)
    }

    /// Free slots that this instance may hand out.
    pub(crate) fn free_slots(&self, now: Time, ignore_ejections: bool) -> u32 {
        self.capacity(now, ignore_ejections)
            .saturating_sub(self.used_slots())
    }

    /// Slots in use without the calls that `peer` reported itself.
    pub(crate) fn used_excluding(&self, peer: &InstanceId) -> u32 {
        let reported = self.inherited.get(peer).map_or(0, |i| i.busy);
        self.used_slots().saturating_sub(reported)
    }

    /// Begins to hand out slots.
    pub(crate) fn take_over(&mut self) {
        self.ownership = Ownership::Active;
        self.last_held = true;
        self.successor = None;
    }

    /// The limit if this instance handed out the slots last, else 0. Only the first heir hears it: for
    /// others it may be out of date, because the heir may hand out the slots by now.
    pub(crate) fn limit_for_successor(&mut self, successor: &InstanceId) -> u32 {
        if !self.last_held || self.successor.as_ref().is_some_and(|h| h != successor) {
            return 0;
        }
        self.successor = Some(successor.clone());
        self.limit.current()
    }

    /// The target is no longer listed.
    pub(crate) fn delist(&mut self) {
        self.listed = false;
    }

    /// Counts calls that a previous owner still has in progress. An answer to a claim and a report
    /// with a newer view replace what was known; one that was overtaken or repeated must not raise it.
    pub(crate) fn record_inherited(&mut self, peer: &InstanceId, report: InheritedCalls) {
        let asked = self.pending_peers.contains(peer);
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
    pub(crate) fn record_release(&mut self, now: Time, peer: &InstanceId, limit: u32) {
        self.pending_peers.retain(|p| p != peer);
        match &mut self.ownership {
            // The answer may be older than the one of the peer that goes first: claim again.
            Ownership::Yielded { until, .. } if limit > 0 => *until = now,
            Ownership::Claiming { .. } => self.record_claim_answer(limit),
            Ownership::Active | Ownership::Foreign | Ownership::Yielded { .. } => {}
        }
    }

    /// Counts an answer to a claim. All peers must answer: the previous owner by this instance's view
    /// need not be the last one that handed out slots.
    fn record_claim_answer(&mut self, limit: u32) {
        if limit > 0 {
            let least = self
                .reported_limit
                .map_or(limit, |reported_limit| reported_limit.min(limit));
            self.reported_limit = Some(least);
        }
        if !self.pending_peers.is_empty() {
            return;
        }
        if let Some(limit) = self.reported_limit.take() {
            self.limit.adopt(limit);
        }
        self.take_over();
    }

    /// Whether recent calls took much longer than on other targets.
    pub(crate) fn is_slow(&self) -> bool {
        self.service_ratio > SLOW_RATIO
    }

    /// Takes the relative service time of a good call.
    pub(crate) fn record_success(&mut self, ratio: f64) {
        if self.health.record_success() {
            self.limit.reset_to_cold();
        }
        let was_slow = self.is_slow();
        self.slow_streak = if ratio > SLOW_RATIO {
            self.slow_streak + 1
        } else {
            0
        };
        self.service_ratio += SERVICE_RATIO_WEIGHT * (ratio - self.service_ratio);
        if self.slow_streak == SLOW_STREAK {
            self.limit.reset_to_cold();
        } else if self.is_slow() {
            self.limit.decrease();
        } else if !was_slow {
            self.limit.record_success();
        }
    }

    /// Takes the relative time of an attempt that was cancelled, for example because its hedge won. It
    /// only shows that the target takes at least as long.
    pub(crate) fn record_cancelled(&mut self, ratio: f64) {
        if ratio > self.service_ratio {
            self.service_ratio += SERVICE_RATIO_WEIGHT * (ratio - self.service_ratio);
        }
    }

    /// Takes a failure. `sheds` if the upstream is overloaded rather than faulty. `jitter` is in 0..1.
    /// Returns whether the target is out now and was not before.
    pub(crate) fn record_failure(&mut self, now: Time, sheds: bool, jitter: f64) -> bool {
        if sheds {
            self.limit.decrease();
        }
        let before = self.health.is_ejected();
        self.health.record_failure(now, jitter);
        !before && self.health.is_ejected()
    }

    /// The upstream said that it is cold.
    pub(crate) fn record_cold(&mut self) {
        self.limit.reset_to_cold();
    }

    /// Takes a new view of the same target. A new process, and one that was out, is cold.
    pub(crate) fn set_view(&mut self, view: &Arc<TargetView>) {
        let usable = |v: &TargetView| v.state == TargetState::Usable;
        let process = view.incarnation != self.view.incarnation;
        let back = usable(view) && !usable(&self.view);
        self.limit.set_max(view.slots);
        self.listed = true;
        if view.owner != self.view.owner && self.ownership == Ownership::Foreign {
            self.last_held = false;
        }
        if process || back {
            self.limit.reset_to_cold();
            self.health = Health::default();
            self.service_ratio = 1.0;
            self.slow_streak = 0;
        }
        self.view = Arc::clone(view);
    }
}

#[cfg(test)]
mod tests;
