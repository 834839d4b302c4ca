//! Admission: what waits, what is refused and which caller is refused first.

use model::{Code, Time};

use super::Dispatcher;
use crate::{Action, Call, CallId, target::Target, waiting_call::WaitingCall};

/// Calls that may wait.
const MAX_QUEUED_CALLS: usize = 256;
/// Bytes that waiting calls may hold: 8 MiB.
const MAX_QUEUED_BYTES: u64 = 8 * 1024 * 1024;
/// Part of the other owners' slots that an instance may expect to borrow: one of this many.
const BORROWABLE_DIVISOR: u32 = 8;
/// Shortest advice to callers that were refused, in milliseconds.
const MIN_RETRY_DELAY_MS: u32 = 10;
/// Longest advice to callers that were refused, in milliseconds.
const MAX_RETRY_DELAY_MS: u32 = 5_000;

impl Dispatcher {
    /// Queues a call. Returns its number if it is to be checked after starts.
    pub(super) fn admit(&mut self, now: Time, call: Call, out: &mut Vec<Action>) -> Option<CallId> {
        self.stats.arrived += 1;
        self.retry_budget.record_call();
        self.hedge_budget.record_call();
        let id = call.id;
        let Some(&class) = self.class_indices.get(call.class) else {
            self.refuse(id, Code::UnknownClass, MIN_RETRY_DELAY_MS, out);
            return None;
        };
        let waiting = self.waiting(call, class);
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

    fn waiting(&self, call: Call, class: usize) -> WaitingCall {
        let state = &self.classes[class];
        let latest_start = latest_start(
            &call,
            call.arrived,
            state.class.delay_ms,
            state.measured_mean_us(),
        );
        // A caller is behind others only while other calls wait.
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

    /// Refuses a call that still waits after starts if the queue is full or its wait is too long. A
    /// caller with clearly more waiting calls, and loose calls, are refused in its place.
    pub(super) fn enforce_queue_limits(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(waiting) = self.queue.get(id) else {
            return;
        };
        let (caller, loose, latest) = (waiting.call.caller, waiting.loose, waiting.latest_start);
        let wait_us = self.expected_wait_us(id);
        let late = wait_us > latest.since_us(now);
        let half = self.queue.len() > MAX_QUEUED_CALLS / 2;
        if late {
            let victim = self.last_call_of_larger_caller(caller, loose);
            let code = victim.map_or(Code::CannotMeet, |_| Code::FairShare);
            self.refuse_waiting(victim.unwrap_or(id), code, wait_us, out);
        } else if half && let Some(victim) = self.last_call_of_excessive_caller(loose) {
            self.refuse_waiting(victim, Code::FairShare, wait_us, out);
        }
        while self.queue.len() > MAX_QUEUED_CALLS || self.queue.bytes() > MAX_QUEUED_BYTES {
            let Some(victim) = self.last_loose_call().or_else(|| self.queue.last()) else {
                return;
            };
            self.refuse_waiting(victim, Code::QueueFull, wait_us, out);
        }
    }

    /// The last call of the caller with the most calls of the kind waiting, if it has clearly more
    /// than `caller`.
    fn last_call_of_larger_caller(&self, caller: u64, loose: bool) -> Option<CallId> {
        let (largest, count) = self.queue.largest_caller(loose)?;
        let mine = self.queue.caller_calls(caller, loose);
        let more = largest != caller && count > mine + 1;
        more.then(|| self.queue.last_unstarted(largest, loose))
            .flatten()
    }

    /// The last call of a caller with over twice its equal share of the calls of the kind.
    fn last_call_of_excessive_caller(&self, loose: bool) -> Option<CallId> {
        let (largest, count) = self.queue.largest_caller(loose)?;
        let all = self.queue.count(loose);
        let callers = self.queue.caller_count(loose);
        let excessive = usize::try_from(count).is_ok_and(|c| c * callers > 2 * all);
        excessive
            .then(|| self.queue.last_unstarted(largest, loose))
            .flatten()
    }

    fn last_loose_call(&self) -> Option<CallId> {
        let (largest, _) = self.queue.largest_caller(true)?;
        self.queue.last_unstarted(largest, true)
    }

    /// Expected wait of a queued call: calls ahead over the rate at which slots become free. Slots of
    /// tighter classes do not count for loose calls.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    #[allow(clippy::cast_sign_loss, reason = "a positive number of microseconds")]
    fn expected_wait_us(&self, id: CallId) -> u64 {
        let Some(waiting) = self.queue.get(id) else {
            return 0;
        };
        let ahead = self.queue.count_ahead(id) as f64;
        let counted = |c: &&crate::class_state::ClassState| !waiting.loose || c.loose;
        let rates = self.classes.iter().filter(counted);
        let rate: f64 = rates.map(|c| f64::from(c.running) / c.mean_us()).sum();
        let mean = self.classes[waiting.class].mean_us();
        let borrowable = f64::from(self.borrowable_slots()).max(1.0);
        ((ahead + 1.0) / rate.max(borrowable / mean)) as u64
    }

    /// Slots that other owners are likely to lend, although none of this instance's calls runs on them
    /// now. With too small a figure an instance without targets refuses calls before the slots come.
    fn borrowable_slots(&self) -> u32 {
        let others = self
            .targets
            .values()
            .filter(|t| t.view.owner != self.view.me);
        let open = others.filter(|t| t.accepts_calls());
        open.map(|t| t.view.slots).sum::<u32>() / BORROWABLE_DIVISOR
    }

    /// Refuses calls whose latest start has passed.
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

    /// Ends a waiting call. A call that had attempts is given up, because it may have run.
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

    fn refuse(&mut self, call: CallId, code: Code, retry_ms: u32, out: &mut Vec<Action>) {
        *self.stats.refused.entry(code).or_default() += 1;
        out.push(Action::Refuse {
            call,
            code,
            retry_ms,
        });
    }

    /// Forgets a call whose caller went away.
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

/// Latest start of a call that waits from `from` on.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A positive number of us.
pub(super) fn latest_start(call: &Call, from: Time, delay_ms: u64, mean_us: f64) -> Time {
    let service = Time(call.deadline.0.saturating_sub(mean_us as u64));
    from.plus_ms(delay_ms).min(service)
}
