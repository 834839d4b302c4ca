//! Hedges: second attempts of slow calls.

use model::Time;

use super::{Dispatcher, start::reserved_slots};
use crate::{Action, CallId, target::Target, waiting_call::WaitingCall};

/// Time after which a hedge that could not start is tried again, in microseconds.
const HEDGE_RETRY_US: u64 = 2_000;

impl Dispatcher {
    /// Returns when a call that starts now may be hedged, or `None` if it must not be hedged.
    pub(super) fn hedge_time(&self, now: Time, waiting: &WaitingCall) -> Option<Time> {
        let class = &self.classes[waiting.class];
        if !class.hedged || !waiting.call.replayable || !waiting.tried.is_empty() {
            return None;
        }
        class.p95_us().map(|us| now.plus_us(us))
    }

    /// Starts second attempts of calls that have run longer than the 95th percentile of their
    /// class.
    pub(super) fn start_hedges(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.hedge_times.first() {
            if at > now {
                return;
            }
            self.hedge_times.pop_first();
            if !self.try_hedge(now, id, out) {
                self.postpone_hedge(now, at, id);
            }
        }
    }

    /// Hedges a call if that is possible now. Returns false if the hedge should be tried again
    /// later.
    fn try_hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) -> bool {
        let Some(running) = self.running.get(&id) else {
            return true;
        };
        if running.hedge_at.is_none() || running.attempts.len() != 1 || running.cancelled {
            return true;
        }
        if self.queue.tight_count() > 0 || !self.hedge_budget.allows() || !self.has_hedge_slot(now)
        {
            return false;
        }
        let Some((target, slot)) = self.choose_slot(now, &running.waiting, true) else {
            return false;
        };
        if self.targets.get(&target).is_some_and(Target::is_slow) {
            return false;
        }
        self.hedge_budget.try_spend();
        self.stats.hedges += 1;
        if let Some(running) = self.running.get_mut(&id) {
            running.hedge_at = None;
        }
        self.start_attempt(now, id, target, slot, out);
        true
    }

    /// Schedules another try of a hedge that could not start.
    fn postpone_hedge(&mut self, now: Time, at: Time, id: CallId) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        // No further tries after the deadline of the call.
        if at < running.waiting.call.deadline {
            self.hedge_times.insert((now.plus_us(HEDGE_RETRY_US), id));
        }
    }

    /// Returns whether a hedge leaves enough slots free for first attempts: half of the slots that
    /// are reserved for tight calls.
    fn has_hedge_slot(&self, now: Time) -> bool {
        let owned = self.targets.values();
        let (cap, free) = owned.fold((0, 0), |(cap, free), t| {
            let unused = t.free_slots(now, self.ignore_ejections);
            (cap + t.capacity(now, self.ignore_ejections), free + unused)
        });
        free > reserved_slots(cap) / 2
    }
}
