//! Admission: which calls enter the queue, which are refused, and whose calls are refused first
//! when the queue is too long.

use model::{Code, Time};

use super::Dispatcher;
use crate::{Action, Call, CallId, target::Target, waiting_call::WaitingCall};

/// Largest number of queued calls.
const MAX_QUEUED_CALLS: usize = 256;
/// Largest number of bytes that queued calls hold in memory: 8 MiB.
const MAX_QUEUED_BYTES: u64 = 8 * 1024 * 1024;
/// An instance expects to be able to borrow the other owners' slots divided by this number.
const BORROWABLE_DIVISOR: u32 = 8;
/// Shortest delay after which a refused caller is advised to retry, in milliseconds.
const MIN_RETRY_DELAY_MS: u32 = 10;
/// Longest delay after which a refused caller is advised to retry, in milliseconds.
const MAX_RETRY_DELAY_MS: u32 = 5_000;

impl Dispatcher {
    /// Queues a call or refuses it. Returns its number if it was queued, so that the queue limits
    /// can be enforced once free slots have been used.
    pub(super) fn admit(&mut self, now: Time, call: Call, out: &mut Vec<Action>) -> Option<CallId> {
        self.stats.arrived += 1;
        self.retry_budget.record_call();
        self.hedge_budget.record_call();
        let id = call.id;
        let Some(&class) = self.class_indices.get(call.class) else {
            self.refuse(id, Code::UnknownClass, MIN_RETRY_DELAY_MS, out);
            return None;
        };
        let waiting = self.new_waiting_call(call, class);
        if now >= waiting.call.deadline {
            self.refuse(id, Code::DeadlinePassed, MIN_RETRY_DELAY_MS, out);
            return None;
        }
        if now > waiting.latest_start {
            self.refuse(id, Code::CannotMeet, MIN_RETRY_DELAY_MS, out);
            return None;
        }
        if !self.targets.values().any(Target::accepts_calls) {
            self.refuse(id, Code::NoTarget, MAX_RETRY_DELAY_MS, out);
            return None;
        }
        self.queue.push(waiting);
        Some(id)
    }

    /// Returns the queue entry of a call of the class with index `class`.
    fn new_waiting_call(&self, call: Call, class: usize) -> WaitingCall {
        let state = &self.classes[class];
        let latest_start = latest_start(
            &call,
            call.arrived,
            state.class.delay_ms,
            state.measured_mean_us(),
        );
        // With an empty queue there is no other caller to prefer.
        let over_share = self.queue.len() > 0 && self.callers.exceeds_fair_share(call.caller);
        WaitingCall {
            class,
            loose: state.loose,
            over_share,
            latest_start,
            earliest_start: call.arrived,
            tried: Vec::new(),
            possible_runs: 0,
            call,
        }
    }

    /// Enforces the queue limits after call `id` was queued and found no free slot. If its expected
    /// wait is too long, it is refused, or in its place the last call of a caller with clearly more
    /// queued calls. If the queue is over half full, the last call of a caller with an excessive
    /// share is refused. If the queue is full, loose calls are refused first.
    pub(super) fn enforce_queue_limits(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(waiting) = self.queue.get(id) else {
            return;
        };
        let (caller, loose, latest) = (waiting.call.caller, waiting.loose, waiting.latest_start);
        let wait_us = self.expected_wait_us(id);
        let too_late = wait_us > latest.since_us(now);
        let half_full = self.queue.len() > MAX_QUEUED_CALLS / 2;
        if too_late {
            let victim = self.last_call_of_larger_caller(caller, loose);
            let code = victim.map_or(Code::CannotMeet, |_| Code::FairShare);
            self.refuse_waiting(victim.unwrap_or(id), code, wait_us, out);
        } else if half_full && let Some(victim) = self.last_call_of_excessive_caller(loose) {
            self.refuse_waiting(victim, Code::FairShare, wait_us, out);
        }
        while self.queue.len() > MAX_QUEUED_CALLS || self.queue.bytes() > MAX_QUEUED_BYTES {
            let Some(victim) = self.last_loose_call().or_else(|| self.queue.last()) else {
                return;
            };
            self.refuse_waiting(victim, Code::QueueFull, wait_us, out);
        }
    }

    /// Returns the last call of the caller with the most queued calls, loose or tight as given, if
    /// it has at least two more than `caller`.
    fn last_call_of_larger_caller(&self, caller: u64, loose: bool) -> Option<CallId> {
        let (largest, count) = self.queue.largest_caller(loose)?;
        let own_count = self.queue.caller_calls(caller, loose);
        let exceeds = largest != caller && count > own_count + 1;
        exceeds
            .then(|| self.queue.last_unstarted(largest, loose))
            .flatten()
    }

    /// Returns the last call of the caller with the most queued calls, loose or tight as given, if
    /// it has more than twice an equal share of them.
    fn last_call_of_excessive_caller(&self, loose: bool) -> Option<CallId> {
        let (largest, count) = self.queue.largest_caller(loose)?;
        let all = self.queue.count(loose);
        let callers = self.queue.caller_count(loose);
        let excessive = usize::try_from(count).is_ok_and(|c| c * callers > 2 * all);
        excessive
            .then(|| self.queue.last_unstarted(largest, loose))
            .flatten()
    }

    /// Returns the last loose call of the caller with the most queued loose calls.
    fn last_loose_call(&self) -> Option<CallId> {
        let (largest, _) = self.queue.largest_caller(true)?;
        self.queue.last_unstarted(largest, true)
    }

    /// Returns the expected wait of a queued call: the number of calls ahead of it, divided by the
    /// rate at which slots become free. That rate is at least the one of the slots that this
    /// instance can probably borrow. For loose calls, slots in use by tight classes are ignored.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    #[allow(clippy::cast_sign_loss, reason = "a positive number of microseconds")]
    fn expected_wait_us(&self, id: CallId) -> u64 {
        let Some(waiting) = self.queue.get(id) else {
            return 0;
        };
        let ahead = self.queue.count_ahead(id) as f64;
        let relevant = |c: &&crate::class_state::ClassState| !waiting.loose || c.loose;
        let rates = self.classes.iter().filter(relevant);
        let rate: f64 = rates.map(|c| f64::from(c.running) / c.mean_us()).sum();
        let mean = self.classes[waiting.class].mean_us();
        let borrowable = f64::from(self.borrowable_slots()).max(1.0);
        ((ahead + 1.0) / rate.max(borrowable / mean)) as u64
    }

    /// Estimates how many slots other owners will lend. With too small an estimate, an instance
    /// without targets of its own refuses calls before the first slots are lent to it.
    fn borrowable_slots(&self) -> u32 {
        let others = self
            .targets
            .values()
            .filter(|t| t.view.owner != self.view.me);
        let accepting = others.filter(|t| t.accepts_calls());
        accepting.map(|t| t.view.slots).sum::<u32>() / BORROWABLE_DIVISOR
    }

    /// Refuses queued calls whose latest start has passed.
    pub(super) fn refuse_expired(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.queue.past_latest_start(now) {
            let Some(waiting) = self.queue.get(id) else {
                continue;
            };
            let code = match () {
                () if now >= waiting.call.deadline => Code::DeadlinePassed,
                () if waiting.over_share => Code::FairShare,
                () => Code::CannotMeet,
            };
            let wait_us = self.expected_wait_us(id);
            self.refuse_waiting(id, code, wait_us, out);
        }
    }

    /// Removes a queued call and refuses it. A call that was attempted before is given up instead,
    /// since a refusal states that the call was not run.
    pub(super) fn refuse_waiting(
        &mut self,
        id: CallId,
        code: Code,
        wait_us: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(waiting) = self.queue.remove(id) else {
            return;
        };
        if waiting.tried.is_empty() {
            let retry_ms = u32::try_from(wait_us / 1_000).unwrap_or(MAX_RETRY_DELAY_MS);
            self.refuse(
                id,
                code,
                retry_ms.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
                out,
            );
        } else {
            out.push(Action::GiveUp { call: id });
        }
    }

    /// Refuses a call, with the delay after which the caller is advised to retry.
    fn refuse(&mut self, call: CallId, code: Code, retry_ms: u32, out: &mut Vec<Action>) {
        *self.stats.refused.entry(code).or_default() += 1;
        out.push(Action::Refuse {
            call,
            code,
            retry_ms,
        });
    }

    /// Drops a queued call whose caller went away. Attempts in progress still end with a report,
    /// but the call is neither hedged nor retried.
    pub(super) fn cancel(&mut self, call: CallId) {
        if let Some(waiting) = self.queue.remove(call) {
            if waiting.tried.is_empty() {
                *self.stats.refused.entry(Code::CancelledEarly).or_default() += 1;
            }
            return;
        }
        if let Some(running) = self.running.get_mut(&call) {
            running.cancelled = true;
            running.hedge_at = None;
        }
    }
}

/// Returns the latest start of a call that waits since `from`: after the delay that its class
/// tolerates, and early enough to end before its deadline.
// The cast value is a positive number of microseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn latest_start(call: &Call, from: Time, delay_ms: u64, mean_us: f64) -> Time {
    let before_deadline = Time(call.deadline.0.saturating_sub(mean_us as u64));
    from.plus_ms(delay_ms).min(before_deadline)
}
