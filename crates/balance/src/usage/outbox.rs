//! The reports that a holder sends: which one is next, and what the platform has said to them. Guards
//! against calls that break a rule, and against a holder that cannot reach the platform and stays.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{Code, Time};

use crate::usage::{CallOutcome, Moment, SLOTS, UsageBounds, UsageReport, log_view::LogView};

/// Pause after a call without an answer, in microseconds.
const RETRY_US: u64 = 250_000;
/// Pause after the platform has refused a call, in microseconds.
const BUSY_US: u64 = 1_000_000;
/// Refusals (other than 429) after which a report is no longer sent.
const MAX_REJECTIONS: u8 = 5;

/// Calls of one process to the platform.
#[derive(Debug)]
pub(super) struct Outbox {
    bounds: UsageBounds,
    /// Windows that need no call: accepted, or refused too often.
    finished: BTreeSet<u64>,
    /// Windows with two recorded bodies. They are never sent.
    pub conflicts: BTreeSet<u64>,
    rejections: BTreeMap<u64, u8>,
    /// Bodies that were sent, and the highest token, for the invariants.
    sent: BTreeMap<u64, Arc<str>>,
    pub top_token: u64,
    /// Start and token of the latest call.
    pub last_call: Option<(Time, u64)>,
    call: Option<(UsageReport, Time)>,
    next_at: Time,
    /// Start of the first of the calls that have failed since the platform last answered.
    failing_since: Option<Time>,
    pub violations: Vec<Code>,
}

impl Outbox {
    pub fn new(bounds: UsageBounds) -> Self {
        Self {
            bounds,
            finished: BTreeSet::new(),
            conflicts: BTreeSet::new(),
            rejections: BTreeMap::new(),
            sent: BTreeMap::new(),
            top_token: 0,
            last_call: None,
            call: None,
            next_at: Time(0),
            failing_since: None,
            violations: Vec::new(),
        }
    }

    /// Whether a call is in progress.
    pub fn is_calling(&self) -> bool {
        self.call.is_some()
    }

    /// Whether the platform has not answered for too long.
    pub fn is_cut_off(&self, now: Time) -> bool {
        let since = self.failing_since;
        since.is_some_and(|since| now.since_us(since) >= self.bounds.give_up_us())
    }

    /// Forgets earlier failures, for a new claim.
    pub fn forget_failures(&mut self) {
        self.failing_since = None;
    }

    /// Records that a window has two recorded bodies.
    pub fn add_conflict(&mut self, window: u64) {
        if self.conflicts.insert(window) {
            self.violations.push(Code::UsageChanged);
        }
    }

    /// Forgets the windows before `first`.
    pub fn prune(&mut self, first: u64) {
        self.finished = self.finished.split_off(&first);
        self.conflicts = self.conflicts.split_off(&first);
        self.rejections = self.rejections.split_off(&first);
        self.sent = self.sent.split_off(&first);
    }

    /// Returns the number of windows of which the body that was sent is known.
    #[cfg(test)]
    pub fn sent_count(&self) -> usize {
        self.sent.len()
    }

    /// Returns the report to send next, if a call may start now.
    pub fn next(&self, at: Moment, token: u64, log: &LogView) -> Option<UsageReport> {
        if self.call.is_some() || at.now < self.next_at || self.is_cut_off(at.now) {
            return None;
        }
        let (window, body) = self.first_window(at.true_us, log)?;
        Some(UsageReport {
            window,
            token,
            body,
        })
    }

    /// Returns the decided window that is to be sent first: the earliest one that is not overdue, or
    /// else the latest one.
    fn first_window(&self, true_us: u64, log: &LogView) -> Option<(u64, Arc<str>)> {
        let present = self.bounds.window_at(true_us);
        let open = log.windows().filter(|(window, _)| {
            let is_recent = *window < present && present - window <= 2 * SLOTS;
            is_recent && !self.finished.contains(window) && !self.conflicts.contains(window)
        });
        let order = |window: u64| {
            let is_overdue = true_us > self.bounds.end_us(window) + self.bounds.due_us;
            let rank = if is_overdue {
                u64::MAX - window
            } else {
                window
            };
            (is_overdue, rank)
        };
        let first = open.min_by_key(|(window, _)| order(*window))?;
        Some((first.0, Arc::clone(first.1)))
    }

    /// Starts a call, unless it would violate an invariant. `is_sole` states that no other holder can
    /// have followed the earlier claims of this process.
    pub fn begin(&mut self, now: Time, report: &UsageReport, is_sole: bool) -> bool {
        let sent = self.sent.entry(report.window);
        let is_same = *sent.or_insert_with(|| report.body.clone()) == report.body;
        let is_apart = self.last_call.is_none_or(|(at, token)| {
            token == report.token || is_sole || now.since_us(at) > self.bounds.lease_us
        });
        let checks = [
            (is_same, Code::UsageChanged),
            (report.token >= self.top_token, Code::UsageTokenFell),
            (is_apart, Code::UsageAlternated),
        ];
        let failed = checks.iter().filter(|(holds, _)| !holds);
        let failed: Vec<Code> = failed.map(|(_, code)| *code).collect();
        debug_assert!(failed.is_empty(), "{failed:?}: {report:?}");
        if !is_same {
            self.conflicts.insert(report.window);
        }
        let holds = failed.is_empty();
        self.violations.extend(failed);
        if holds {
            self.top_token = report.token;
            self.last_call = Some((now, report.token));
            self.call = Some((report.clone(), now));
        }
        holds
    }

    /// Records the outcome of the call in progress.
    pub fn record(&mut self, now: Time, outcome: CallOutcome) {
        let Some((report, started)) = self.call.take() else {
            return;
        };
        let pause_us = match outcome {
            CallOutcome::Accepted => 0,
            CallOutcome::Busy | CallOutcome::Rejected => BUSY_US,
            CallOutcome::Failed | CallOutcome::Unsent => RETRY_US,
        };
        self.next_at = now.plus_us(pause_us.max(self.bounds.call_gap_us));
        match outcome {
            CallOutcome::Failed => {
                self.failing_since.get_or_insert(started);
            }
            CallOutcome::Unsent => {}
            CallOutcome::Busy => self.failing_since = None,
            CallOutcome::Accepted => {
                self.failing_since = None;
                self.finished.insert(report.window);
            }
            CallOutcome::Rejected => {
                self.failing_since = None;
                self.record_rejection(report.window);
            }
        }
    }

    fn record_rejection(&mut self, window: u64) {
        let count = self.rejections.entry(window).or_default();
        *count += 1;
        if *count >= MAX_REJECTIONS {
            self.finished.insert(window);
        }
    }
}
