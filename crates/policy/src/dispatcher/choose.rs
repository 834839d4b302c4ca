//! Choice among free slots.

use model::{TargetId, Time};

use super::Dispatcher;
use crate::{
    borrowed_slot::BorrowedSlot, running_call::Slot, target::Target, waiting_call::WaitingCall,
};

/// Cost of another availability zone: 0.5 ms each way, in microseconds.
const ZONE_COST_US: f64 = 1_000.0;
/// Cost of a target whose limit is used up, in microseconds. Below the cost of another zone, because a
/// free slot is as fast on a busy target as on an idle one.
const LOAD_COST_US: f64 = 800.0;
/// Relative service times in this range count as equal, so that noise does not crowd some targets.
const NORMAL_RATIO: std::ops::Range<f64> = 0.6..1.6;
/// A tight call waits for another slot rather than start on a slow target, until this long before its
/// latest start, in microseconds.
const SLOW_MARGIN_US: u64 = 2_000;
/// A slow target gets a call after this idle time whatever the class, so that its recovery is seen.
const SLOW_RETRY_US: u64 = 1_000_000;

/// Calls on one target from one instance. Each takes a connection, and 16 instances may hold 240
/// connections to a target together.
const MAX_CONNECTIONS: u32 = 15;

/// A free slot with its cost; ties go to the target that was started least recently.
type Candidate = (f64, Time, TargetId, Slot);

impl Dispatcher {
    /// The best free slot for a call, among lent ones and, if `own`, own ones.
    pub(super) fn choose(
        &self,
        now: Time,
        waiting: &WaitingCall,
        own: bool,
    ) -> Option<(TargetId, Slot)> {
        let held = self.targets.iter().filter(|_| own);
        let own = held.filter_map(|(id, target)| {
            let free = target.free_slots(now, self.ignore_ejections) > 0;
            (free && self.is_suitable(now, id, target, waiting))
                .then(|| self.candidate(id, target, waiting, Slot::Own))
        });
        let loans = self.borrowed.iter().filter_map(|((lender, loan), b)| {
            let target = self.targets.get(&b.target)?;
            (is_idle(b) && waiting.call.deadline <= b.until && target.accepts_calls())
                .then_some(())
                .filter(|()| self.is_suitable(now, &b.target, target, waiting))?;
            let slot = Slot::Loan(lender.clone(), *loan);
            Some(self.candidate(&b.target, target, waiting, slot))
        });
        let best = own.chain(loans).min_by(|a, b| {
            let tie = || a.1.cmp(&b.1).then_with(|| a.2.cmp(&b.2));
            a.0.total_cmp(&b.0).then_with(tie)
        });
        best.map(|(_, _, id, slot)| (id, slot))
    }

    /// Whether any slot is free, as a cheap check before the choice.
    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        let own = |t: &Target| t.free_slots(now, self.ignore_ejections) > 0;
        self.targets.values().any(own) || self.borrowed.values().any(is_idle)
    }

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
        if !self.has_connection(id, target) {
            return false;
        }
        let near_deadline = waiting.latest_start.since_us(now) <= SLOW_MARGIN_US;
        let unobserved = now.since_us(target.last_start) > SLOW_RETRY_US;
        waiting.loose
            || !target.is_slow()
            || near_deadline
            || unobserved
            || !self.has_faster_target(now, waiting)
    }

    /// Whether this instance may open a further connection to the target. Only targets with many slots
    /// reach the limit.
    fn has_connection(&self, id: &TargetId, target: &Target) -> bool {
        if target.view.slots <= MAX_CONNECTIONS {
            return true;
        }
        let lent = self
            .borrowed
            .values()
            .filter(|b| b.target == *id && b.call.is_some());
        let lent = u32::try_from(lent.count()).unwrap_or(u32::MAX);
        target.own_attempts.saturating_add(lent) < MAX_CONNECTIONS
    }

    /// Whether another target may become free that is not slow. Without one, waiting for it would only
    /// refuse calls that a slow target can run.
    fn has_faster_target(&self, now: Time, waiting: &WaitingCall) -> bool {
        let quick = |(id, t): (&TargetId, &Target)| {
            let able = t.accepts_calls() && t.health.max_calls(now) > 0 && self.split_permits(t);
            able && !t.is_slow() && !waiting.tried.contains(id)
        };
        self.targets.iter().any(quick)
    }

    /// Whether the split permits a start on the target's version now.
    pub(super) fn split_permits(&self, target: &Target) -> bool {
        let Some(active_move) = &self.view.active_move else {
            return true;
        };
        let new = target.view.version == active_move.to;
        new == self.split.allows_new()
            || (!new && active_move.share < 10_000 && !self.has_new_target())
    }

    /// Whether any target of the new version is open.
    fn has_new_target(&self) -> bool {
        let Some(active_move) = &self.view.active_move else {
            return false;
        };
        let mut open = self.targets.values().filter(|t| t.accepts_calls());
        open.any(|t| t.view.version == active_move.to)
    }

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

/// Whether a call may start on a loan.
pub(super) fn is_idle(borrowed: &BorrowedSlot) -> bool {
    borrowed.call.is_none() && !borrowed.closed
}
