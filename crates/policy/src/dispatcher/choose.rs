//! Selection of a free slot for a call.

use model::{TargetId, Time};

use super::Dispatcher;
use crate::{
    borrowed_slot::BorrowedSlot, running_call::Slot, target::Target, waiting_call::WaitingCall,
};

/// Cost of a target in another availability zone: 0.5 ms each way, in microseconds.
const ZONE_COST_US: f64 = 1_000.0;
/// Cost of a target whose limit is fully used by this instance, in microseconds. Less than the cost
/// of another zone, because a free slot is as fast on a busy target as on an idle one.
const LOAD_COST_US: f64 = 800.0;
/// Service ratios in this range are treated as 1, so that noise does not concentrate calls on a few
/// targets.
const NORMAL_RATIO: std::ops::Range<f64> = 0.6..1.6;
/// Time before its latest start, in microseconds, until which a tight call waits for a faster
/// target rather than start on a slow one.
const SLOW_MARGIN_US: u64 = 2_000;
/// Time without a start, in microseconds, after which a slow target gets a call of any class, so
/// that its recovery is detected.
const SLOW_RETRY_US: u64 = 1_000_000;

/// Largest number of attempts of one instance on one target. Each takes a connection, and 16
/// instances may hold 240 connections to a target together.
const MAX_CONNECTIONS: u32 = 15;

/// A free slot: its cost in microseconds, the last start on its target, the target and the slot. Of
/// slots with equal cost, the one on the target with the earliest last start is chosen.
type Candidate = (f64, Time, TargetId, Slot);

impl Dispatcher {
    /// Returns the free slot with the least cost for a call, among borrowed slots and, if `own` is
    /// true, slots of this instance.
    pub(super) fn choose_slot(
        &self,
        now: Time,
        waiting: &WaitingCall,
        own: bool,
    ) -> Option<(TargetId, Slot)> {
        let owned = self.targets.iter().filter(|_| own);
        let own_slots = owned.filter_map(|(id, target)| {
            let free = target.free_slots(now, self.ignore_ejections) > 0;
            (free && self.is_suitable(now, id, target, waiting))
                .then(|| self.candidate(id, target, waiting, Slot::Own))
        });
        let loaned_slots = self.borrowed.iter().filter_map(|((lender, loan), b)| {
            let target = self.targets.get(&b.target)?;
            (is_idle(b) && waiting.call.deadline <= b.until && target.accepts_calls())
                .then_some(())
                .filter(|()| self.is_suitable(now, &b.target, target, waiting))?;
            let slot = Slot::Loan(lender.clone(), *loan);
            Some(self.candidate(&b.target, target, waiting, slot))
        });
        let best = own_slots.chain(loaned_slots).min_by(|a, b| {
            let tie = || a.1.cmp(&b.1).then_with(|| a.2.cmp(&b.2));
            a.0.total_cmp(&b.0).then_with(tie)
        });
        best.map(|(_, _, id, slot)| (id, slot))
    }

    /// Returns whether any slot is free. A cheap check before a slot is selected for each call.
    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        let own = |t: &Target| t.free_slots(now, self.ignore_ejections) > 0;
        self.targets.values().any(own) || self.borrowed.values().any(is_idle)
    }

    /// Returns whether the call may use a slot of the target: no attempt used the target before,
    /// the version split and the connection limit permit it, and the target is fast enough. Tight
    /// calls avoid slow targets while a faster one may become free in time.
    fn is_suitable(
        &self,
        now: Time,
        id: &TargetId,
        target: &Target,
        waiting: &WaitingCall,
    ) -> bool {
        if waiting.tried.contains(id) || !self.split_permits(target) {
            return false;
        }
        if !self.may_connect(id, target) {
            return false;
        }
        let start_due = waiting.latest_start.since_us(now) <= SLOW_MARGIN_US;
        let unobserved = now.since_us(target.last_start) > SLOW_RETRY_US;
        waiting.loose
            || !target.is_slow()
            || start_due
            || unobserved
            || !self.has_faster_target(now, waiting)
    }

    /// Returns whether this instance may open another connection to the target. Only targets with
    /// more than [`MAX_CONNECTIONS`] slots can reach the limit.
    fn may_connect(&self, id: &TargetId, target: &Target) -> bool {
        if target.view.slots <= MAX_CONNECTIONS {
            return true;
        }
        let on_loans = self
            .borrowed
            .values()
            .filter(|b| b.target == *id && b.call.is_some());
        let on_loans = u32::try_from(on_loans.count()).unwrap_or(u32::MAX);
        target.own_attempts.saturating_add(on_loans) < MAX_CONNECTIONS
    }

    /// Returns whether a target that is not slow may become free for the call. If there is none, a
    /// call that waits for one would be refused although a slow target can run it.
    fn has_faster_target(&self, now: Time, waiting: &WaitingCall) -> bool {
        let is_faster = |(id, t): (&TargetId, &Target)| {
            let available =
                t.accepts_calls() && t.health.max_calls(now) > 0 && self.split_permits(t);
            available && !t.is_slow() && !waiting.tried.contains(id)
        };
        self.targets.iter().any(is_faster)
    }

    /// Returns whether the split between versions permits a start on the target's version now.
    pub(super) fn split_permits(&self, target: &Target) -> bool {
        let Some(active_move) = &self.view.active_move else {
            return true;
        };
        let new = target.view.version == active_move.to;
        new == self.split.allows_new()
            || (!new && active_move.share < 10_000 && !self.has_new_target())
    }

    /// Returns whether any target of the new version accepts calls.
    fn has_new_target(&self) -> bool {
        let Some(active_move) = &self.view.active_move else {
            return false;
        };
        let mut accepting = self.targets.values().filter(|t| t.accepts_calls());
        accepting.any(|t| t.view.version == active_move.to)
    }

    /// Returns a free slot with its cost: the expected service time on the target, plus penalties
    /// for load and for another availability zone.
    fn candidate(
        &self,
        id: &TargetId,
        target: &Target,
        waiting: &WaitingCall,
        slot: Slot,
    ) -> Candidate {
        let mean = self.classes[waiting.class].mean_us();
        let service_ratio = if NORMAL_RATIO.contains(&target.service_ratio) {
            1.0
        } else {
            target.service_ratio
        };
        let load = f64::from(target.own_attempts) / f64::from(target.limit.current());
        let zone = if target.view.zone == self.view.zone {
            0.0
        } else {
            ZONE_COST_US
        };
        (
            mean * service_ratio + load * LOAD_COST_US + zone,
            target.last_start,
            id.clone(),
            slot,
        )
    }
}

/// Returns whether a call may start on a borrowed slot.
pub(super) fn is_idle(borrowed: &BorrowedSlot) -> bool {
    borrowed.call.is_none() && !borrowed.closed
}
