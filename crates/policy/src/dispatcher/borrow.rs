//! Slot lending, borrower's side: requests slots from other owners and returns them after use.

use model::{InstanceId, TargetId, Time};
use wire::LoanMsg;

use super::{Dispatcher, lend::DEMAND_TTL_MS};
use crate::{
    borrowed_slot::BorrowedSlot,
    lender_state::{LenderState, MAX_GAP_US, MIN_GAP_US},
    message_priority::MessagePriority,
};

/// Time during which grants in response to a request for slots are still expected, in microseconds.
/// A round trip between availability zones takes 1 ms.
const GRANT_WAIT_US: u64 = 3_000;

impl Dispatcher {
    /// Handles the grant of a slot by `from`. Returns the loan unused if the grant is repeated, may
    /// have been delayed by a pause, or is for a target that accepts no calls or that another
    /// instance owns.
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
        let acceptable = known.is_some_and(|t| t.accepts_calls() && t.view.owner == *from);
        // A grant may have been buffered while this process was paused. It is unknown how much of
        // its loan time is left.
        let stale = now < self.grant_cutoff;
        if repeated || stale || !acceptable {
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

    /// Handles a recall: closes the loan to further calls. An unknown loan was already returned, or
    /// its grant was lost or has not arrived yet; it is returned, and a later grant of it is
    /// rejected.
    pub(super) fn on_recall(&mut self, from: &InstanceId, loan: u64) {
        if let Some(b) = self.borrowed.get_mut(&(from.clone(), loan)) {
            b.closed = true;
            return;
        }
        let lender = self.lenders.entry(from.clone()).or_default();
        lender.last_loan = lender.last_loan.max(Some(loan));
        self.send(from, return_unused(loan));
    }

    /// Returns borrowed slots on which no call is running.
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

    /// Closes loans whose lender is no longer the owner of the target according to this instance's
    /// view, and loans of targets that accept no calls.
    pub(super) fn close_stale_loans(&mut self) {
        for ((lender, _), b) in &mut self.borrowed {
            let target = self.targets.get(&b.target);
            b.closed |= !target.is_some_and(|t| t.accepts_calls() && t.view.owner == *lender);
        }
    }

    /// Handles the loss of the connection to a peer. Calls on slots that the peer lent run to their
    /// end, but no new ones start there. Slots lent to the peer stay lent until it returns them or
    /// the loan expires. It is not asked about them again, because a restarted process of the same
    /// name would return loans on which calls of its predecessor still run.
    pub(super) fn peer_down(&mut self, peer: &InstanceId) {
        self.demands.remove(peer);
        self.lenders.remove(peer);
        let lent = self
            .borrowed
            .iter_mut()
            .filter(|((lender, _), _)| lender == peer);
        lent.for_each(|(_, b)| b.closed = true);
        let lent_slots = self.targets.values_mut().flat_map(|t| t.lent.values_mut());
        for lent in lent_slots.filter(|l| l.borrower == *peer) {
            lent.recalled = true;
            lent.query_at = Time::MAX;
        }
    }

    /// Requests slots from one owner after the other while calls are queued, and withdraws requests
    /// that are no longer needed.
    pub(super) fn request_slots(&mut self, now: Time) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let tight = u32::try_from(self.queue.tight_count()).unwrap_or(u32::MAX);
        if waiting == 0 {
            self.withdraw_demands(now, |requested| requested.0 > 0);
            return;
        }
        if tight == 0 {
            self.withdraw_demands(now, |requested| requested.1 > 0);
        }
        let pending = self.pending_demand(now, None);
        if tight <= pending.1 && waiting <= pending.0 {
            return;
        }
        let Some(owner) = self.owner_to_ask(now) else {
            return;
        };
        let elsewhere = self.pending_demand(now, Some(&owner));
        let tight = tight.saturating_sub(elsewhere.1);
        let waiting = waiting.saturating_sub(elsewhere.0).max(tight).max(1);
        if !self.may_send(now, MessagePriority::Normal) {
            return;
        }
        let lender = self.lenders.entry(owner.clone()).or_default();
        lender.requested = (waiting, tight);
        lender.last_want = Some(now);
        lender.gap_us = (lender.gap_us * 2).min(MAX_GAP_US);
        self.send(&owner, LoanMsg::Want { waiting, tight });
    }

    /// Returns for how many queued calls, all and tight ones, recent requests to owners other than
    /// `except` may still bring grants.
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

    /// Returns the owner with the shortest request interval, among equals the one asked least
    /// recently. Owners whose interval has not passed yet are left out.
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

    /// Withdraws the requests whose numbers of queued calls, all and tight ones, are `obsolete`.
    /// Owners whose copy of the request has expired get no message.
    fn withdraw_demands(&mut self, now: Time, obsolete: impl Fn((u32, u32)) -> bool) {
        let mut owners = Vec::new();
        for (owner, lender) in &mut self.lenders {
            let unexpired = lender
                .last_want
                .is_some_and(|at| now.since_us(at) < DEMAND_TTL_MS * 1_000);
            if !obsolete(lender.requested) {
                continue;
            }
            lender.requested = (0, 0);
            if unexpired {
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

/// Returns the message that gives back a loan on which no call ran.
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
