//! Handling of finished attempts, and retries.

use model::{TargetId, Time};
use rand::Rng;

use super::{Dispatcher, admit::latest_start};
use crate::{
    Action, AttemptEnd, AttemptReport, CallId,
    running_call::{RunningCall, Slot},
    target::Target,
};

/// Service time in microseconds that represents the median of a call's class in
/// [`wire::LoanMsg::Return`]. Service times of all classes are scaled to it, so that they can be
/// summed.
pub(super) const REFERENCE_US: f64 = 10_000.0;
/// Mean backoff before the first retry, in microseconds. It doubles with each further attempt, up
/// to the sixth.
const BACKOFF_US: u64 = 2_000;

impl Dispatcher {
    /// Handles the end of an attempt. Ignores reports of unknown attempts.
    pub(super) fn finish(
        &mut self,
        now: Time,
        id: CallId,
        target: &TargetId,
        report: &AttemptReport,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let index = running.attempts.iter().position(|a| a.target == *target);
        let Some(index) = index else {
            return;
        };
        let slot = running.attempts.remove(index).slot;
        if report.end.is_not_run() {
            running.waiting.possible_runs -= 1;
        }
        let class = running.waiting.class;
        let ratio = self.classes[class].median_ratio(report.service_us);
        if report.end == AttemptEnd::Good {
            self.classes[class].record(report.service_us);
        }
        match slot {
            Slot::Own => self.finish_own(now, target, report, ratio, out),
            Slot::Loan(lender, loan) => self.finish_loan(&lender, loan, report, ratio),
        }
        self.finish_call(now, id, report, out);
    }

    /// Records the end of an attempt on a slot of this instance.
    fn finish_own(
        &mut self,
        now: Time,
        id: &TargetId,
        report: &AttemptReport,
        ratio: f64,
        out: &mut Vec<Action>,
    ) {
        let jitter = self.rng.random();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.own_attempts -= 1;
        let overloaded = matches!(report.end, AttemptEnd::Refused | AttemptEnd::Timeout);
        if report.end == AttemptEnd::Good {
            target.record_success(ratio);
        } else if report.end == AttemptEnd::Cancelled {
            target.record_cancelled(ratio);
        } else if report.end.is_bad() && target.record_failure(now, overloaded, jitter) {
            self.stats.ejections += 1;
        }
        if report.cold {
            target.record_cold();
        }
        if report.draining {
            mark_draining(target, out);
        }
        self.update_ignore_ejections();
    }

    /// Records the end of an attempt on a borrowed slot, for the return message to the lender.
    // The cast value is a positive number of microseconds.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn finish_loan(
        &mut self,
        lender: &model::InstanceId,
        loan: u64,
        report: &AttemptReport,
        ratio: f64,
    ) {
        let Some(b) = self.borrowed.get_mut(&(lender.clone(), loan)) else {
            return;
        };
        b.call = None;
        if report.end == AttemptEnd::Good {
            b.good += 1;
            b.busy_us += (ratio * REFERENCE_US) as u64;
        }
        b.bad += u32::from(report.end.is_bad());
        b.draining |= report.draining;
        b.cold |= report.cold;
        // The lender decides whether the target gets further calls, so it is informed immediately.
        b.closed |= report.end.is_bad() || report.draining || report.cold;
    }

    /// Decides after the end of an attempt whether the call ends, is retried, or waits for its
    /// other attempt.
    fn finish_call(
        &mut self,
        now: Time,
        id: CallId,
        report: &AttemptReport,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let decided = report.end == AttemptEnd::Good || running.cancelled;
        if decided && !running.ended {
            running.ended = true;
            out.push(Action::GiveUp { call: id });
        }
        if !running.attempts.is_empty() {
            return;
        }
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.classes[running.waiting.class].running -= 1;
        if let Some(at) = running.hedge_at {
            self.hedge_times.remove(&(at, id));
        }
        if running.ended {
            return;
        }
        if self.may_retry(now, &running, report) {
            self.requeue(now, running);
        } else {
            out.push(Action::GiveUp { call: id });
        }
    }

    /// Returns whether a call without attempts in progress is retried, and takes the retry from the
    /// budget. It must be safe to run again and resendable, and another target must be left.
    fn may_retry(&mut self, now: Time, running: &RunningCall, report: &AttemptReport) -> bool {
        let waiting = &running.waiting;
        let repeatable = waiting.possible_runs == 0 || self.classes[waiting.class].class.idempotent;
        let resendable = waiting.call.replayable || report.end == AttemptEnd::ConnectFailed;
        let wanted = report.retryable && report.end.is_bad() && resendable;
        let untried = self.targets.iter();
        let untried = untried.filter(|(id, t)| t.accepts_calls() && !waiting.tried.contains(id));
        repeatable
            && wanted
            && waiting.call.retries > 0
            && now < waiting.call.deadline
            && untried.count() > 0
            && self.retry_budget.try_spend()
    }

    /// Queues a call for a retry after a random backoff.
    fn requeue(&mut self, now: Time, running: RunningCall) {
        let mut waiting = running.waiting;
        waiting.call.retries -= 1;
        let attempt = waiting.tried.len().min(6);
        let max_wait_us = BACKOFF_US << attempt;
        waiting.earliest_start = now.plus_us(self.rng.random_range(0..max_wait_us));
        let class = &self.classes[waiting.class];
        waiting.latest_start = latest_start(
            &waiting.call,
            now,
            class.class.delay_ms,
            class.measured_mean_us(),
        );
        self.queue.push(waiting);
    }

    /// Decides whether ejections are ignored. If more than half of this instance's targets are
    /// ejected, the cause is probably not the targets, and all of them receive calls.
    pub(super) fn update_ignore_ejections(&mut self) {
        let own = self.targets.values();
        let own = own.filter(|t| t.view.owner == self.view.me && t.accepts_calls());
        let (all, ejected) = own.fold((0, 0), |(all, ejected), t| {
            (all + 1, ejected + usize::from(t.health.is_ejected()))
        });
        self.ignore_ejections = ejected * 2 > all;
    }
}

/// Stops starting calls on a target that reported that it is draining, and informs the other
/// instances once.
pub(super) fn mark_draining(target: &mut Target, out: &mut Vec<Action>) {
    let incarnation = target.view.incarnation;
    if target.draining_incarnation == Some(incarnation) {
        return;
    }
    target.draining_incarnation = Some(incarnation);
    out.push(Action::Draining {
        target: target.view.id.clone(),
        incarnation,
    });
}
