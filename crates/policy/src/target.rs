//! State of a target in this instance: slots in use, limit, health and ownership.

use std::{collections::BTreeMap, sync::Arc};

use model::{InstanceId, Time};

use crate::{
    TargetState, TargetView, health::Health, inherited_calls::InheritedCalls, lent_slot::LentSlot,
    limit::Limit, ownership::Ownership,
};

/// Weight of a new sample in the service ratio. With log-normal service times of sigma 0.8, a
/// weight of 0.25 makes healthy targets appear slow, which lowers throughput at 130% load to three
/// quarters.
const SERVICE_RATIO_WEIGHT: f64 = 0.05;
/// Service ratio above which a target is slow.
pub(crate) const SLOW_RATIO: f64 = 3.0;
/// Consecutive slow calls after which a target is treated as cold. A single one is no sign of a
/// fault: with log-normal service times of sigma 0.5, 1 call in 70 takes more than 3 medians.
const SLOW_STREAK: u32 = 4;

/// A target and the use of its slots, as this instance knows it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Configuration and membership data.
    pub(crate) view: Arc<TargetView>,
    /// Whether this instance controls the use of the target's slots.
    pub(crate) ownership: Ownership,
    /// Limit of concurrent calls.
    pub(crate) limit: Limit,
    /// Recent failures, and ejection because of them.
    pub(crate) health: Health,
    /// Service ratio: exponentially weighted mean of the service times of calls, each divided by
    /// the median of its class. Above 1 the target is slower than usual.
    pub(crate) service_ratio: f64,
    /// Attempts in progress that this instance started as owner, not on borrowed slots.
    pub(crate) own_attempts: u32,
    /// Slots lent to peers, by loan number.
    pub(crate) lent: BTreeMap<u64, LentSlot>,
    /// Calls that previous owners still have in progress.
    pub(crate) inherited: BTreeMap<InstanceId, InheritedCalls>,
    /// Peers that have not answered the current claim.
    pub(crate) pending_peers: Vec<InstanceId>,
    /// Smallest limit that peers reported in answers to the current claim.
    pub(crate) reported_limit: Option<u32>,
    /// Number of times that the current claim was sent.
    pub(crate) claims_sent: u32,
    /// When the claim is repeated to peers that have not answered.
    pub(crate) next_claim: Time,
    /// Number of slots in use that was last reported to the new owner, unless it was zero.
    pub(crate) reported_busy: Option<u32>,
    /// When this instance last started a call on the target or lent one of its slots.
    pub(crate) last_start: Time,
    /// Incarnation of the process that reported that it is draining.
    pub(crate) draining_incarnation: Option<u64>,
    /// Whether this instance was the last one in control of the slots, as far as it knows.
    was_active: bool,
    /// First instance to which the limit was reported since this one was in control.
    successor: Option<InstanceId>,
    /// Whether the latest view lists the target.
    listed: bool,
    /// Number of consecutive slow calls.
    slow_streak: u32,
}

impl Target {
    /// Creates the state of a target that was just listed: cold and owned by another instance.
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
            was_active: false,
            successor: None,
            listed: true,
            slow_streak: 0,
        }
    }

    /// Returns the number of slots in use that this instance accounts for.
    pub(crate) fn used_slots(&self) -> u32 {
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        let inherited: u32 = self.inherited.values().map(|i| i.busy).sum();
        self.own_attempts
            .saturating_add(lent)
            .saturating_add(inherited)
    }

    /// Returns whether the target may receive new calls, no matter which instance owns it.
    pub(crate) fn accepts_calls(&self) -> bool {
        self.listed
            && self.view.state == TargetState::Usable
            && self.draining_incarnation != Some(self.view.incarnation)
    }

    /// Returns how many calls this instance may run or let borrowers run on the target at a time.
    /// With `ignore_ejections`, an ejection does not lower the number.
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

    /// Returns the number of free slots that this instance may use or lend.
    pub(crate) fn free_slots(&self, now: Time, ignore_ejections: bool) -> u32 {
        self.capacity(now, ignore_ejections)
            .saturating_sub(self.used_slots())
    }

    /// Returns the number of slots in use without the calls that `peer` reported.
    pub(crate) fn used_excluding(&self, peer: &InstanceId) -> u32 {
        let reported = self.inherited.get(peer).map_or(0, |i| i.busy);
        self.used_slots().saturating_sub(reported)
    }

    /// Takes control of the target's slots.
    pub(crate) fn take_over(&mut self) {
        self.ownership = Ownership::Active;
        self.was_active = true;
        self.successor = None;
    }

    /// Returns the limit if this instance was the last one in control of the slots, otherwise 0.
    /// Only the first successor gets the limit. For others it may be out of date, because the
    /// successor may be in control by then.
    pub(crate) fn limit_for_successor(&mut self, successor: &InstanceId) -> u32 {
        if !self.was_active
            || self
                .successor
                .as_ref()
                .is_some_and(|first| first != successor)
        {
            return 0;
        }
        self.successor = Some(successor.clone());
        self.limit.current()
    }

    /// Marks the target as no longer listed.
    pub(crate) fn delist(&mut self) {
        self.listed = false;
    }

    /// Records how many calls a previous owner still has in progress. An answer to a claim and a
    /// report with a newer view replace the count. A report that was delayed or repeated must not
    /// raise it.
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

    /// Records a peer's statement that it does not control the target's slots. `limit` is the
    /// peer's limit if it was the last one in control, otherwise 0.
    pub(crate) fn record_release(&mut self, now: Time, peer: &InstanceId, limit: u32) {
        self.pending_peers.retain(|p| p != peer);
        match &mut self.ownership {
            // This answer may be older than that of the instance with precedence: claim again.
            Ownership::Yielded { until, .. } if limit > 0 => *until = now,
            Ownership::Claiming { .. } => self.record_claim_answer(limit),
            Ownership::Active | Ownership::Foreign | Ownership::Yielded { .. } => {}
        }
    }

    /// Records an answer to a claim, and takes over the target after the last one. All peers must
    /// answer, because the previous owner according to this instance's view need not be the last
    /// one in control.
    fn record_claim_answer(&mut self, limit: u32) {
        if limit > 0 {
            let least = self.reported_limit.map_or(limit, |known| known.min(limit));
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

    /// Returns whether recent calls took much longer than the medians of their classes.
    pub(crate) fn is_slow(&self) -> bool {
        self.service_ratio > SLOW_RATIO
    }

    /// Records a successful call. `ratio` is its service time divided by the median of its class.
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

    /// Records an attempt that was cancelled, for example because its hedge succeeded first.
    /// `ratio` is a lower bound of the service ratio that the attempt would have had.
    pub(crate) fn record_cancelled(&mut self, ratio: f64) {
        if ratio > self.service_ratio {
            self.service_ratio += SERVICE_RATIO_WEIGHT * (ratio - self.service_ratio);
        }
    }

    /// Records a failed call. `overloaded` states that the upstream is overloaded, which lowers the
    /// limit. `jitter` is in 0..1 and varies the time of an ejection. Returns whether the failure
    /// ejected the target.
    pub(crate) fn record_failure(&mut self, now: Time, overloaded: bool, jitter: f64) -> bool {
        if overloaded {
            self.limit.decrease();
        }
        let was_ejected = self.health.is_ejected();
        self.health.record_failure(now, jitter);
        !was_ejected && self.health.is_ejected()
    }

    /// Records that the upstream reported that it is cold.
    pub(crate) fn record_cold(&mut self) {
        self.limit.reset_to_cold();
    }

    /// Applies a new view of the target. A new process, and one that becomes usable again, starts
    /// cold.
    pub(crate) fn set_view(&mut self, view: &Arc<TargetView>) {
        let usable = |v: &TargetView| v.state == TargetState::Usable;
        let restarted = view.incarnation != self.view.incarnation;
        let usable_again = usable(view) && !usable(&self.view);
        self.limit.set_max(view.slots);
        self.listed = true;
        if view.owner != self.view.owner && self.ownership == Ownership::Foreign {
            self.was_active = false;
        }
        if restarted || usable_again {
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
