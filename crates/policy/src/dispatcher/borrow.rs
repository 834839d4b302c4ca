//! The borrower's side of slot lending.

use model::{InstanceId, TargetId, Time};
use wire::LoanMsg;

use super::{Dispatcher, lend::DEMAND_TTL_MS};
use crate::{
    borrowed_slot::BorrowedSlot,
    lender_state::{LenderState, MAX_GAP_US, MIN_GAP_US},
    message_priority::MessagePriority,
};

/// Time after which a wish without a grant no longer counts as about to be met, in microseconds. A
/// round trip between availability zones takes 1 ms.
const GRANT_WAIT_US: u64 = 3_000;

impl Dispatcher {
    pub(super) fn on_grant(
        &mut self,
        now: Time,
        from: &InstanceId,
        target: TargetId,
        loan: u64,
        hold_ms: u32,
    ) {
        let key = (from.clone(), loan);
        if self.borrowed.contains_key(&key) {
            return;
        }
        let lender = self.lenders.entry(from.clone()).or_default();
        let repeated = lender.last_loan.is_some_and(|seen| loan <= seen);
        lender.last_loan = lender.last_loan.max(Some(loan));
        lender.gap_us = MIN_GAP_US;
        lender.requested.0 = lender.requested.0.saturating_sub(1);
        lender.requested.1 = lender.requested.1.saturating_sub(1);
        let known = self.targets.get(&target);
        let agreed = known.is_some_and(|t| t.accepts_calls() && t.view.owner == *from);
        // A grant that waited in a buffer during a pause has an unknown part of its hold behind it.
        let stale = now < self.grant_cutoff;
        if repeated || stale || !agreed {
            self.send(from, return_unused(loan));
            return;
        }
        self.stats.loans_in += 1;
        let borrowed = BorrowedSlot {
            target,
            until: now.plus_ms(u64::from(hold_ms)),
            closed: false,
            call: None,
            good: 0,
            bad: 0,
            busy_us: 0,
            draining: false,
            cold: false,
        };
        self.borrowed.insert(key, borrowed);
    }

    /// A loan that is not known was returned, or its grant was lost or is still on the way.
    pub(super) fn on_recall(&mut self, from: &InstanceId, loan: u64) {
        if let Some(b) = self.borrowed.get_mut(&(from.clone(), loan)) {
            b.closed = true;
            return;
        }
        let lender = self.lenders.entry(from.clone()).or_default();
        lender.last_loan = lender.last_loan.max(Some(loan));
        self.send(from, return_unused(loan));
    }

    /// Returns loans on which no call was started.
    pub(super) fn return_idle_loans(&mut self) {
        let idle = self.borrowed.iter().filter(|(_, b)| b.call.is_none());
        let idle: Vec<_> = idle.map(|(key, _)| key.clone()).collect();
        for key in idle {
            let Some(b) = self.borrowed.remove(&key) else {
                continue;
            };
            let msg = LoanMsg::Return {
                loan: key.1,
                good: b.good,
                bad: b.bad,
                busy_us: b.busy_us,
                draining: b.draining,
                cold: b.cold,
            };
            self.send(&key.0, msg);
        }
    }

    /// Stops further use of loans whose lender no longer owns the target by this instance's view.
    pub(super) fn close_stale_loans(&mut self) {
        for ((lender, _), b) in &mut self.borrowed {
            let target = self.targets.get(&b.target);
            b.closed |= !target.is_some_and(|t| t.accepts_calls() && t.view.owner == *lender);
        }
    }

    /// The stream to a peer broke. Its loans are used up but not again. What it was lent stays with it
    /// until it returns it or the hold ends: a new process of the same name would deny loans whose
    /// calls still run.
    pub(super) fn peer_down(&mut self, peer: &InstanceId) {
        self.demands.remove(peer);
        self.lenders.remove(peer);
        let lent = self
            .borrowed
            .iter_mut()
            .filter(|((lender, _), _)| lender == peer);
        lent.for_each(|(_, b)| b.closed = true);
        let out = self.targets.values_mut().flat_map(|t| t.lent.values_mut());
        for lent in out.filter(|l| l.borrower == *peer) {
            lent.recalled = true;
            lent.query_at = Time::MAX;
        }
    }

    /// Asks owners for slots while calls wait, one owner after the other, and withdraws wishes that
    /// were met otherwise.
    pub(super) fn request_slots(&mut self, now: Time) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let tight = u32::try_from(self.queue.tight_count()).unwrap_or(u32::MAX);
        if waiting == 0 {
            self.withdraw_demands(now, |told| told.0 > 0);
            return;
        }
        if tight == 0 {
            self.withdraw_demands(now, |told| told.1 > 0);
        }
        let told = self.pending_demand(now, None);
        if tight <= told.1 && waiting <= told.0 {
            return;
        }
        let Some(owner) = self.owner_to_ask(now) else {
            return;
        };
        let others = self.pending_demand(now, Some(&owner));
        let tight = tight.saturating_sub(others.1);
        let waiting = waiting.saturating_sub(others.0).max(tight).max(1);
        if !self.may_send(now, MessagePriority::Normal) {
            return;
        }
        let lender = self.lenders.entry(owner.clone()).or_default();
        lender.requested = (waiting, tight);
        lender.last_want = Some(now);
        lender.gap_us = (lender.gap_us * 2).min(MAX_GAP_US);
        self.send(&owner, LoanMsg::Want { waiting, tight });
    }

    /// Calls covered by wishes that may still be answered, but for those to `except`: all, tight ones.
    fn pending_demand(&self, now: Time, except: Option<&InstanceId>) -> (u32, u32) {
        let recent = |l: &LenderState| {
            l.last_want
                .is_some_and(|at| now.since_us(at) < GRANT_WAIT_US)
        };
        let lenders = self.lenders.iter();
        let recent = lenders.filter(|(id, l)| Some(*id) != except && recent(l));
        let recent = recent.map(|(_, l)| l);
        recent.fold((0, 0), |(all, tight), l| {
            (all + l.requested.0, tight + l.requested.1)
        })
    }

    /// The owner that answered best and was asked least recently, if one may be asked now.
    fn owner_to_ask(&self, now: Time) -> Option<InstanceId> {
        let others = self.view.owners.iter().filter(|o| **o != self.view.me);
        let state = |o: &InstanceId| {
            let lender = self.lenders.get(o);
            lender.map_or((MIN_GAP_US, None), |l| (l.gap_us, l.last_want))
        };
        let ready = others.filter(|o| {
            let (gap, at) = state(o);
            at.is_none_or(|at| now.since_us(at) >= gap)
        });
        ready.min_by_key(|o| state(o)).cloned()
    }

    fn withdraw_demands(&mut self, now: Time, stale: impl Fn((u32, u32)) -> bool) {
        let mut owners = Vec::new();
        for (owner, lender) in &mut self.lenders {
            let live = lender
                .last_want
                .is_some_and(|at| now.since_us(at) < DEMAND_TTL_MS * 1_000);
            if !stale(lender.requested) {
                continue;
            }
            lender.requested = (0, 0);
            if live {
                owners.push(owner.clone());
            }
        }
        for owner in owners {
            self.send(
                &owner,
                LoanMsg::Want {
                    waiting: 0,
                    tight: 0,
                },
            );
        }
    }
}

/// Ends a loan on which nothing ran.
fn return_unused(loan: u64) -> LoanMsg {
    LoanMsg::Return {
        loan,
        good: 0,
        bad: 0,
        busy_us: 0,
        draining: false,
        cold: false,
    }
}
