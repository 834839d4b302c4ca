//! Slot lending, lender's side: grants idle slots to peers with queued calls and recalls them.

use model::{Code, InstanceId, TargetId, Time};
use rand::Rng;
use wire::LoanMsg;

use super::{Dispatcher, finish::REFERENCE_US, finish::mark_draining, start::reserved_slots};
use crate::{
    Action, invariant::check_invariant, lent_slot::LentSlot, message_priority::MessagePriority,
    ownership::Ownership, peer_demand::PeerDemand, target::Target,
};

/// Time after which a peer's request for slots expires, in milliseconds.
pub(super) const DEMAND_TTL_MS: u64 = 50;
/// Time beyond the longest call during which a borrower may start further calls on a loan, in
/// milliseconds.
const REUSE_MS: u64 = 1_000;
/// Time that the lender waits beyond the end of a loan before it takes the slot back, in
/// milliseconds, because the grant and the return take time to arrive.
pub(super) const MESSAGE_SLACK_MS: u64 = 250;
/// Interval at which a lender recalls a loan that the borrower still has, in milliseconds. A lost
/// `Grant` or `Return` is thereby detected before the loan expires.
const LOAN_CHECK_MS: u64 = 1_250;

impl Dispatcher {
    /// Records the request of a peer for slots, or its withdrawal if no calls are queued there.
    pub(super) fn on_want(&mut self, now: Time, from: &InstanceId, waiting: u32, tight: u32) {
        if waiting == 0 {
            self.demands.remove(from);
            return;
        }
        let demand = PeerDemand {
            waiting,
            tight: tight.min(waiting),
            until: now.plus_ms(DEMAND_TTL_MS),
        };
        self.demands.insert(from.clone(), demand);
    }

    /// Lends idle slots to peers with queued calls, to those with tight calls first. The slots
    /// reserved for tight classes are lent for tight calls only.
    pub(super) fn lend_slots(&mut self, now: Time) {
        self.demands.retain(|_, d| d.until > now && d.waiting > 0);
        while let Some((peer, tight)) = self.next_borrower() {
            let (cap, free) = self.capacity_and_free(now);
            let reserve = if tight { 0 } else { reserved_slots(cap) };
            if free <= reserve
                || self.queue.tight_count() > 0
                || !self.may_send(now, MessagePriority::Normal)
            {
                return;
            }
            let Some(target) = self.target_to_lend(now, tight) else {
                return;
            };
            self.grant(now, &peer, target, tight);
        }
    }

    /// Returns the peer with the most queued tight calls, among equals with the most queued calls,
    /// and whether any of its calls are tight.
    fn next_borrower(&self) -> Option<(InstanceId, bool)> {
        let best = self.demands.iter().filter(|(_, d)| d.waiting > 0);
        let (peer, demand) = best.max_by_key(|(_, d)| (d.tight, d.waiting))?;
        Some((peer.clone(), demand.tight > 0))
    }

    /// Returns the number of slots that this instance may use or lend, and how many of them are
    /// free.
    pub(super) fn capacity_and_free(&self, now: Time) -> (u32, u32) {
        self.targets.values().fold((0, 0), |(cap, free), t| {
            (
                cap + t.capacity(now, self.ignore_ejections),
                free + t.free_slots(now, self.ignore_ejections),
            )
        })
    }

    /// Returns the target of which a slot is lent next: targets that are not slow first, then those
    /// with the fewest slots in use. During a move, the version is drawn at random according to the
    /// move's share.
    fn target_to_lend(&mut self, now: Time, tight: bool) -> Option<TargetId> {
        let active_move = self.view.active_move.as_ref();
        let share = active_move.map_or(0, |s| u32::from(s.share));
        // The borrower's own split decides whether it uses a slot of the new version.
        let new = share > 0 && self.rng.random_range(0..10_000) < share;
        let is_new = |t: &Target| active_move.is_some_and(|s| s.to == t.view.version);
        let lendable = |t: &Target| {
            t.free_slots(now, self.ignore_ejections) > 0
                && (!tight || !t.is_slow())
                && !t.health.is_ejected()
        };
        let all = self.targets.iter().filter(|(_, t)| lendable(t));
        let matching = all.filter(|(_, t)| active_move.is_none() || is_new(t) == new);
        let best = matching.min_by_key(|(_, t)| (t.is_slow(), t.used_slots(), t.last_start));
        best.map(|(id, _)| id.clone())
    }

    /// Lends a slot of a target to a peer, unless that would exceed the target's limit.
    fn grant(&mut self, now: Time, peer: &InstanceId, id: TargetId, tight: bool) {
        let hold_ms = self.loan_duration_ms(tight);
        let loan = self.next_loan;
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let below_limit = target.used_slots() < target.limit.current();
        let detail = format_args!("grant of a slot of target {id}");
        if !check_invariant(&mut self.stats, Code::ColdOverrun, below_limit, detail) {
            return;
        }
        self.next_loan += 1;
        self.stats.loans_out += 1;
        target.last_start = now;
        let lent = LentSlot {
            borrower: peer.clone(),
            reclaim_at: now.plus_ms(hold_ms + MESSAGE_SLACK_MS),
            query_at: now.plus_ms(LOAN_CHECK_MS),
            recalled: false,
        };
        target.lent.insert(loan, lent);
        if let Some(demand) = self.demands.get_mut(peer) {
            demand.waiting -= 1;
            demand.tight = demand.tight.saturating_sub(1);
        }
        let hold_ms = u32::try_from(hold_ms).unwrap_or(u32::MAX);
        self.send(
            peer,
            LoanMsg::Grant {
                target: id,
                loan,
                hold_ms,
            },
        );
    }

    /// Returns the duration of a loan in milliseconds: the longest timeout of the classes that may
    /// use it (tight ones only, or all), and the time during which further calls may start.
    pub(super) fn loan_duration_ms(&self, tight: bool) -> u64 {
        let classes = self.classes.iter().filter(|c| !tight || !c.loose);
        classes.map(|c| c.class.timeout_ms).max().unwrap_or(0) + REUSE_MS
    }

    /// Recalls lent slots while tight calls are queued at this instance.
    pub(super) fn recall_loans(&mut self, now: Time) {
        let waiting = self.queue.tight_count();
        if waiting == 0 || !self.has_open_loans() || !self.may_send(now, MessagePriority::Optional)
        {
            return;
        }
        let owned = self.targets.values_mut();
        let lent = owned.flat_map(|t| t.lent.iter_mut());
        let recalled = lent.filter(|(_, l)| l.recalled).count();
        let wanted = waiting.saturating_sub(recalled);
        let open = self.targets.values_mut().flat_map(|t| t.lent.iter_mut());
        let open: Vec<_> = open.filter(|(_, l)| !l.recalled).take(wanted).collect();
        let mut msgs = Vec::new();
        for (loan, lent) in open {
            lent.recalled = true;
            msgs.push((lent.borrower.clone(), *loan));
        }
        self.send_recalls(msgs);
    }

    /// Returns whether any lent slot was not recalled yet.
    fn has_open_loans(&self) -> bool {
        let mut lent = self.targets.values().flat_map(|t| t.lent.values());
        lent.any(|l| !l.recalled)
    }

    /// Recalls all lent slots of a target.
    pub(super) fn recall_target(&mut self, id: &TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let open = target.lent.iter_mut().filter(|(_, l)| !l.recalled);
        let msgs = open.map(|(loan, lent)| {
            lent.recalled = true;
            (lent.borrower.clone(), *loan)
        });
        let msgs = msgs.collect();
        self.send_recalls(msgs);
    }

    /// Sends the recalls of loans to their borrowers.
    fn send_recalls(&mut self, msgs: Vec<(InstanceId, u64)>) {
        for (to, loan) in msgs {
            self.send(&to, LoanMsg::Recall { loan });
        }
    }

    /// Takes back slots whose loan has expired, drops expired counts of previous owners' calls, and
    /// recalls loans that have lasted for the check interval.
    pub(super) fn reclaim_loans(&mut self, now: Time) {
        let mut msgs = Vec::new();
        for target in self.targets.values_mut() {
            let before = target.lent.len();
            target.lent.retain(|_, lent| lent.reclaim_at > now);
            self.stats.reclaimed += (before - target.lent.len()) as u64;
            target.inherited.retain(|_, i| i.until > now);
            for (loan, lent) in &mut target.lent {
                if lent.query_at <= now {
                    lent.query_at = now.plus_ms(LOAN_CHECK_MS);
                    lent.recalled = true;
                    msgs.push((lent.borrower.clone(), *loan));
                }
            }
        }
        self.send_recalls(msgs);
    }

    /// Handles the return of a loan: frees the slot and records what the borrower observed. Ignores
    /// loans that are not lent to `from`.
    pub(super) fn on_return(
        &mut self,
        now: Time,
        from: &InstanceId,
        msg: &LoanMsg,
        out: &mut Vec<Action>,
    ) {
        let LoanMsg::Return {
            loan,
            good,
            bad,
            busy_us,
            draining,
            cold,
        } = *msg
        else {
            return;
        };
        let lent = |t: &&mut Target| t.lent.get(&loan).is_some_and(|l| l.borrower == *from);
        let Some(target) = self.targets.values_mut().find(lent) else {
            return;
        };
        target.lent.remove(&loan);
        if good > 0 {
            let ratio = mean_ratio(busy_us, good);
            (0..good).for_each(|_| target.record_success(ratio));
        }
        for _ in 0..bad {
            // The message does not say how the calls failed. Overload, which lowers the limit, is
            // the safe assumption.
            let jitter = self.rng.random();
            self.stats.ejections += u64::from(target.record_failure(now, true, jitter));
        }
        if cold {
            target.record_cold();
        }
        if draining {
            mark_draining(target, out);
        }
        if target.ownership == Ownership::Active {
            self.update_ignore_ejections();
        }
    }
}

/// Returns the mean service ratio of the successful calls of a loan.
#[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
fn mean_ratio(busy_us: u64, good: u32) -> f64 {
    busy_us as f64 / f64::from(good) / REFERENCE_US
}
