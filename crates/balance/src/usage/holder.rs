//! The state machine of a collector that may hold the claim to report usage. Guards against two
//! contents of one window, a token that falls, and holders that call in turn, when holders are killed,
//! frozen or cut off, and when the store is down, loses answers or comes back from an earlier copy.
//!
//! The store orders the holders. Each append is made on condition of the end of the partition up to
//! which this process knows all records, so that it is done only if nothing else was written since.
//! The caller makes one call to the store and one to the platform at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{Code, InstanceId, Time};

use crate::{
    Position,
    usage::{
        AppendOutcome, CallOutcome, Claim, Moment, SLOTS, StoreStep, UsageBounds, UsageListing,
        UsageRecord, UsageReport, log_view::LogView, outbox::Outbox, pending::Pending,
    },
};

/// Time between two listings of a collector that does not hold the claim, in microseconds. Its claim
/// follows the last record of a killed holder by up to this much more; each call is paid for. In trials
/// with 250 kills, as many windows were late with 1 s as with 2 s (52), and 80 with 3 s.
const LIST_INTERVAL_US: u64 = 2_000_000;
/// Pause after a failed call to the store, in microseconds. It doubles with each further one.
const RETRY_US: u64 = 250_000;
/// Most doublings of that pause. A renewal has 4 s until the lease ends, and windows wait for the store.
const MAX_DOUBLINGS: u32 = 3;
/// Time by which each collector claims later than the one before it by rank, in microseconds.
const RANK_DELAY_US: u64 = 150_000;
/// Windows of which a process remembers what was recorded.
const REMEMBERED: u64 = 2 * SLOTS;

/// A claim that this process holds.
#[derive(Clone, Debug)]
struct Hold {
    claim: Claim,
    token: u64,
    lease_until: Time,
    /// Whether the claim follows one of the same process, with no other holder between them.
    is_sole: bool,
}

/// One collector's part in reporting usage.
#[derive(Debug)]
pub struct UsageHolder {
    bounds: UsageBounds,
    instance: InstanceId,
    incarnation: u64,
    /// Random number of the latest claim.
    claim_number: u64,
    /// Latest era of the store, with the time at which this process first saw it.
    era: Option<(u64, Time)>,
    /// True time up to which windows that have ended are not decided here, because they may have been
    /// decided in an earlier era.
    closed_us: u64,
    /// Until then, no other process can have claimed in this era: the lease of the earlier one runs.
    sole_until: Time,
    log: Option<LogView>,
    /// End of the latest known records.
    seen_end: Position,
    /// Time by which the latest record had been written.
    quiet_since: Time,
    listed_at: Time,
    store_busy: bool,
    next_store_at: Time,
    /// Calls to the store in a row that have failed.
    failures: u32,
    pending: Option<Pending>,
    hold: Option<Hold>,
    /// Whether the claim is to be given up, so that no call may start.
    gives_up: bool,
    /// Time before which this process does not claim.
    rest_until: Time,
    /// Recorded bodies by window, of all eras.
    remembered: BTreeMap<u64, Arc<str>>,
    /// Bodies that this process has tried to record. An append without an answer may be done late, in
    /// a later era, so that no other body may ever be proposed.
    proposed: BTreeMap<u64, Arc<str>>,
    /// Calls to the platform.
    outbox: Outbox,
}

impl UsageHolder {
    /// Returns the state of a process that has just started. `seed` is a random number.
    #[must_use]
    pub fn new(bounds: UsageBounds, instance: InstanceId, incarnation: u64, seed: u64) -> Self {
        Self {
            bounds,
            instance,
            incarnation,
            claim_number: seed,
            era: None,
            closed_us: 0,
            sole_until: Time(0),
            log: None,
            seen_end: Position::default(),
            quiet_since: Time(0),
            listed_at: Time(0),
            store_busy: false,
            next_store_at: Time(0),
            failures: 0,
            pending: None,
            hold: None,
            gives_up: false,
            rest_until: Time(0),
            remembered: BTreeMap::new(),
            proposed: BTreeMap::new(),
            outbox: Outbox::new(bounds),
        }
    }

    /// Returns the token of the claim that this process holds, if it does.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        self.hold.as_ref().map(|hold| hold.token)
    }

    /// Returns the windows with two recorded bodies.
    #[must_use]
    pub fn conflicts(&self) -> &BTreeSet<u64> {
        &self.outbox.conflicts
    }

    /// Returns the invariants that were violated since the last call.
    pub fn take_violations(&mut self) -> Vec<Code> {
        std::mem::take(&mut self.outbox.violations)
    }

    /// Records the era of the store, from any of its responses to this process. When it rises, records
    /// may be lost and offsets are given out again.
    pub fn record_era(&mut self, era: u64, at: Moment) {
        let known = self.era;
        if known.is_some_and(|(known, _)| era <= known) {
            return;
        }
        self.era = Some((era, at.now));
        let lease_until = self.hold.as_ref().map_or(Time(0), |hold| hold.lease_until);
        let sole_until = self.sole_until.max(lease_until);
        // While its lease ran, nobody else can have recorded anything that this process does not know.
        if known.is_some() && at.now < sole_until {
            self.sole_until = sole_until;
        } else {
            self.sole_until = Time(0);
            self.closed_us = self.closed_us.max(at.true_us);
            // The clock of this process may be behind that of the earlier holder.
            if let Some((last, _)) = self.remembered.last_key_value() {
                self.closed_us = self.closed_us.max(self.bounds.end_us(last + 1));
            }
        }
        self.hold = None;
        if let Some(pending) = self.pending.take() {
            self.keep_proposal(&pending.record);
        }
        self.log = None;
        self.quiet_since = at.now;
        self.next_store_at = at.now;
    }

    /// Remembers a body whose append may be done at any later time.
    fn keep_proposal(&mut self, record: &UsageRecord) {
        if let UsageRecord::Window { window, body, .. } = record {
            self.proposed.insert(*window, Arc::clone(body));
        }
    }

    /// Returns the next call to the store, if one is due. `rank` is the rank of this collector; `None`
    /// if the instance is none or must not hold the claim any more. `body_of` returns the body of a
    /// window that is to be decided, or `None` to leave it out.
    pub fn next_store_step(
        &mut self,
        at: Moment,
        rank: Option<u64>,
        body_of: impl FnMut(u64) -> Option<Arc<str>>,
    ) -> Option<StoreStep> {
        if self.store_busy || at.now < self.next_store_at {
            return None;
        }
        let step = self.choose_step(at, rank, body_of)?;
        self.store_busy = true;
        Some(step)
    }

    fn choose_step(
        &mut self,
        at: Moment,
        rank: Option<u64>,
        body_of: impl FnMut(u64) -> Option<Arc<str>>,
    ) -> Option<StoreStep> {
        if let Some(pending) = &self.pending {
            return Some(repeat_step(pending));
        }
        if rank.is_none() && self.hold.is_none() {
            return None;
        }
        let Some(log) = &self.log else {
            return Some(StoreStep::List);
        };
        let end = log.end;
        let record = match &self.hold {
            Some(_) => self.holder_record(at, rank, body_of)?,
            None => match self.claim_record(at.now, rank?) {
                Some(record) => record,
                None => {
                    return self
                        .is_listing_due(at.now, rank?)
                        .then_some(StoreStep::List);
                }
            },
        };
        self.pending = Some(Pending {
            record: record.clone(),
            at: end,
            since: at.now,
            is_unknown: false,
            must_list: false,
        });
        Some(StoreStep::Append { record, at: end })
    }

    /// Returns what the holder is to append next, if anything.
    fn holder_record(
        &mut self,
        at: Moment,
        rank: Option<u64>,
        body_of: impl FnMut(u64) -> Option<Arc<str>>,
    ) -> Option<UsageRecord> {
        self.gives_up = rank.is_none() || self.outbox.is_cut_off(at.now);
        if self.gives_up {
            // Calls end before the record that lets others claim.
            if self.outbox.is_calling() {
                return None;
            }
            self.rest_until = at.now.plus_us(self.bounds.rest_us());
            self.outbox.forget_failures();
            self.hold = None;
            let era = self.log.as_ref()?.end.era;
            return Some(UsageRecord::Holder { era, claim: None });
        }
        if let Some(record) = self.lost_record(at) {
            return Some(record);
        }
        if let Some(record) = self.decision(at, body_of) {
            return Some(record);
        }
        let hold = self.hold.as_ref()?;
        let renewed = hold.lease_until.0.saturating_sub(self.bounds.claim_us());
        let is_due = at.now.since_us(Time(renewed)) >= self.bounds.renew_us();
        let era = self.log.as_ref()?.end.era;
        is_due.then(|| UsageRecord::Holder {
            era,
            claim: Some(hold.claim.clone()),
        })
    }

    /// Returns a record that was made in an earlier era and that the store has lost.
    fn lost_record(&self, at: Moment) -> Option<UsageRecord> {
        let log = self.log.as_ref()?;
        let first = self.first_window(at)?;
        let mut known = self.remembered.range(first..);
        let (window, body) = known.find(|(w, _)| log.lacks(**w))?;
        Some(UsageRecord::Window {
            era: log.end.era,
            window: *window,
            body: Arc::clone(body),
        })
    }

    /// Returns the record of the first window that is to be decided now.
    fn decision(
        &self,
        at: Moment,
        mut body_of: impl FnMut(u64) -> Option<Arc<str>>,
    ) -> Option<UsageRecord> {
        let log = self.log.as_ref()?;
        let last = self.bounds.latest_ready(at.true_us)?;
        for window in self.first_window(at)?..=last {
            let is_closed = self.bounds.end_us(window) <= self.closed_us;
            if is_closed || !log.is_open(window) || self.remembered.contains_key(&window) {
                continue;
            }
            let proposed = self.proposed.get(&window).cloned();
            if let Some(body) = proposed.or_else(|| body_of(window)) {
                let era = log.end.era;
                return Some(UsageRecord::Window { era, window, body });
            }
        }
        None
    }

    /// Returns the first window that still has a key in the topic.
    fn first_window(&self, at: Moment) -> Option<u64> {
        let last = self.bounds.latest_ready(at.true_us)?;
        Some((last + 1).saturating_sub(SLOTS))
    }

    /// Returns the record of a new claim, if one is allowed.
    fn claim_record(&mut self, now: Time, rank: u64) -> Option<UsageRecord> {
        if now < self.rest_until {
            return None;
        }
        // Without a running lease, the latest listing must show that the silence has lasted.
        if now >= self.sole_until && self.listed_at < self.free_at(rank) {
            return None;
        }
        self.claim_number = self.claim_number.wrapping_add(1);
        let claim = Claim {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number: self.claim_number,
        };
        Some(UsageRecord::Holder {
            era: self.log.as_ref()?.end.era,
            claim: Some(claim),
        })
    }

    /// Returns the time from which this process may claim, unless another record is written before.
    fn free_at(&self, rank: u64) -> Time {
        let is_vacant = self.log.as_ref().is_some_and(LogView::is_vacant);
        let silence_us = if is_vacant {
            self.bounds.vacancy_us()
        } else {
            self.bounds.silence_us()
        };
        // The last record may be from an earlier copy of the store, and a claim that was made after it
        // may still last.
        let era_since = self.era.map_or(Time(0), |(_, since)| since);
        let since_era = era_since.plus_us(self.bounds.silence_us());
        let free = self.quiet_since.plus_us(silence_us).max(since_era);
        free.plus_us(rank.saturating_mul(RANK_DELAY_US))
    }

    fn is_listing_due(&self, now: Time, rank: u64) -> bool {
        let free_at = self.free_at(rank);
        let is_free = self.listed_at < free_at && free_at <= now;
        is_free || now.since_us(self.listed_at) >= LIST_INTERVAL_US
    }

    /// Records the response to a listing that was asked for at `asked`.
    pub fn record_listing(&mut self, at: Moment, asked: Time, listing: Option<UsageListing>) {
        self.store_busy = false;
        let Some(listing) = listing else {
            self.pause_after_failure(at.now);
            return;
        };
        self.record_era(listing.end.era, at);
        let known = self.log.as_ref().map(|log| log.end);
        let known = known.or(self.pending.as_ref().map(|pending| pending.at));
        let is_late = self.era.is_some_and(|(era, _)| era > listing.end.era);
        if is_late || known.is_some_and(|known| known > listing.end) {
            // The response is from before what is known.
            self.next_store_at = at.now.plus_us(RETRY_US);
            return;
        }
        let is_change = self.log.as_ref().is_none_or(|log| log.end != listing.end);
        if is_change {
            self.quiet_since = at.now;
        }
        self.listed_at = asked;
        self.prune(at.true_us);
        let is_partial = listing.is_partial;
        let log = LogView::new(listing);
        self.close_hidden(&log, is_partial, at);
        self.seen_end = log.end;
        let windows: Vec<(u64, Arc<str>)> = log.windows().map(|(w, b)| (w, b.clone())).collect();
        self.log = Some(log);
        for (window, body) in windows {
            self.remember(window, &body);
        }
        self.resolve_pending(at);
        self.check_hold();
        if self.pending.is_none() {
            self.failures = 0;
        }
    }

    fn pause_after_failure(&mut self, now: Time) {
        let pause_us = RETRY_US << self.failures.min(MAX_DOUBLINGS);
        self.next_store_at = now.plus_us(pause_us);
        self.failures = self.failures.saturating_add(1);
    }

    /// Closes the windows that have ended, if records from an earlier era, or unreadable ones, may hide how
    /// they were decided.
    fn close_hidden(&mut self, log: &LogView, is_partial: bool, at: Moment) {
        let is_first = self.seen_end.era != log.end.era;
        let known = match is_first {
            true if at.now < self.sole_until => u64::MAX,
            true => 0,
            false => self.seen_end.offset,
        };
        if is_partial || log.has_earlier_era_since(known) {
            self.closed_us = self.closed_us.max(at.true_us);
        }
    }

    /// Finds out from the listing whether a pending append was done.
    fn resolve_pending(&mut self, at: Moment) {
        let (Some(pending), Some(log)) = (&mut self.pending, &self.log) else {
            return;
        };
        if log.end == pending.at {
            pending.must_list = false;
            return;
        }
        let pending = self.pending.take();
        let done = pending.filter(|p| log.has(p.at.offset, &p.record));
        if let Some(done) = done {
            self.complete(&done, at.now);
        }
    }

    /// Drops the claim if another one follows it.
    fn check_hold(&mut self) {
        let newest = self.log.as_ref().and_then(LogView::claim);
        let is_own = self.hold.as_ref().is_some_and(|h| Some(&h.claim) == newest);
        if !is_own {
            self.hold = None;
        }
    }

    /// Records the outcome of the append that was asked for last.
    pub fn record_append(&mut self, at: Moment, outcome: AppendOutcome) {
        self.store_busy = false;
        if let AppendOutcome::Done { era } = outcome {
            // A record that was done in a later era than the one it was made for counts as another's.
            self.record_era(era, at);
        }
        let Some(pending) = &mut self.pending else {
            // The era has risen meanwhile.
            self.log = None;
            return;
        };
        match outcome {
            AppendOutcome::Done { era } if era == pending.at.era => {
                self.failures = 0;
                let pending = self.pending.take();
                if let (Some(pending), Some(log)) = (pending, &mut self.log) {
                    log.push(pending.record.clone());
                    self.seen_end = log.end;
                    self.quiet_since = at.now;
                    self.complete(&pending, at.now);
                }
                // A holder may list nothing for days.
                self.prune(at.true_us);
            }
            AppendOutcome::Done { .. } | AppendOutcome::Unknown => {
                pending.is_unknown = true;
                pending.must_list = true;
                let record = pending.record.clone();
                self.keep_proposal(&record);
                self.pause_after_failure(at.now);
            }
            AppendOutcome::EndMismatch if pending.is_unknown => pending.must_list = true,
            AppendOutcome::EndMismatch => {
                self.failures = 0;
                self.pending = None;
                self.quiet_since = at.now;
                self.log = None;
            }
        }
    }

    /// Takes up what a record that was done says.
    fn complete(&mut self, done: &Pending, now: Time) {
        let lease_until = done.since.plus_us(self.bounds.claim_us());
        if let Some(hold) = &mut self.hold {
            hold.lease_until = hold.lease_until.max(lease_until);
        }
        match &done.record {
            UsageRecord::Holder {
                claim: Some(claim), ..
            } if self.hold.is_none() => {
                self.hold = Some(Hold {
                    claim: claim.clone(),
                    token: token(done.at),
                    lease_until,
                    is_sole: done.since < self.sole_until,
                });
                self.sole_until = Time(0);
                self.outbox.forget_failures();
                self.gives_up = false;
            }
            UsageRecord::Holder { claim: Some(_), .. } => {}
            UsageRecord::Holder { claim: None, .. } => {
                self.rest_until = self.rest_until.max(now.plus_us(self.bounds.rest_us()));
            }
            UsageRecord::Window { window, body, .. } => self.remember(*window, body),
        }
    }

    /// Remembers a recorded body. A second body of the same window is never sent.
    fn remember(&mut self, window: u64, body: &Arc<str>) {
        let known = self
            .remembered
            .entry(window)
            .or_insert_with(|| Arc::clone(body));
        if known != body {
            self.outbox.add_conflict(window);
        }
    }

    /// Forgets the windows that can no longer be decided or sent.
    fn prune(&mut self, true_us: u64) {
        let present = self.bounds.window_at(true_us);
        let first = present.saturating_sub(REMEMBERED);
        self.remembered = self.remembered.split_off(&first);
        self.proposed = self.proposed.split_off(&first);
        self.outbox.prune(first);
    }

    /// Returns the next report to send, if one is due. [`Self::may_send`] must allow it again once the
    /// connection is open.
    pub fn next_call(&mut self, at: Moment) -> Option<UsageReport> {
        let (hold, log) = (self.hold.as_ref()?, self.log.as_ref()?);
        let is_sole = hold.is_sole;
        let report = self.outbox.next(at, hold.token, log)?;
        let may_start = !self.gives_up && self.may_send(at.now, &report);
        (may_start && self.outbox.begin(at.now, &report, is_sole)).then_some(report)
    }

    /// Whether a report may be sent at this moment: the claim is held for longer than the call takes.
    #[must_use]
    pub fn may_send(&self, now: Time, report: &UsageReport) -> bool {
        let hold = self.hold.as_ref().filter(|h| h.token == report.token);
        hold.is_some_and(|h| now.plus_us(self.bounds.reach_us()) < h.lease_until)
    }

    /// Records the outcome of the call that was asked for last.
    pub fn record_call(&mut self, now: Time, outcome: CallOutcome) {
        self.outbox.record(now, outcome);
    }
}

/// Returns the step that finds out about a pending append, or repeats it.
fn repeat_step(pending: &Pending) -> StoreStep {
    if pending.must_list {
        return StoreStep::List;
    }
    StoreStep::Append {
        record: pending.record.clone(),
        at: pending.at,
    }
}

/// Returns the token of a claim. It rises with the era and, within it, with the offset.
fn token(claim: Position) -> u64 {
    (claim.era << 32).saturating_add(claim.offset + 1)
}

#[cfg(test)]
mod tests;
