//! State that this instance keeps for one instance or target.

use model::Time;
use wire::{EntryState, ListEntry};

use super::{MISSING_GRACE_MS, RESPONSE_GRACE_MS, SILENT_MS};

/// An entry of the list, with the responses and failures of its process.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) item: ListEntry,
    /// Whether the last accepted answer of the list contained the entry.
    pub(super) in_list: bool,
    /// Time of the first complete answer that lacked the entry after the list last showed it.
    pub(super) missing_since: Option<Time>,
    /// Whether the list, a peer or the process itself has ever said that the process is leaving.
    pub(super) leaving: bool,
    /// Time of the last response of the process.
    pub(super) last_response: Option<Time>,
    /// Time at which this instance first knew of the process.
    known_since: Time,
    /// Time of the first failure after the last response, and number of failures since then.
    failures: Option<(Time, u32)>,
}

impl Entry {
    pub(super) fn new(item: ListEntry, now: Time) -> Self {
        Self {
            leaving: item.state == EntryState::Leaving,
            item,
            in_list: false,
            missing_since: None,
            last_response: None,
            known_since: now,
            failures: None,
        }
    }

    /// Applies an entry of the list. One that describes an older process with this id is ignored.
    pub(super) fn apply_item(&mut self, item: &ListEntry, now: Time) {
        if item.incarnation < self.item.incarnation {
            return;
        }
        self.replace_process(item.incarnation, now);
        self.leaving |= item.state == EntryState::Leaving;
        // Most entries of a poll are unchanged. Not copying them saves 730 copies a second.
        if self.item != *item {
            self.item.clone_from(item);
        }
        self.in_list = true;
    }

    /// Resets the state if `incarnation` belongs to a later process.
    pub(super) fn replace_process(&mut self, incarnation: u64, now: Time) {
        if incarnation <= self.item.incarnation {
            return;
        }
        let mut item = self.item.clone();
        item.incarnation = incarnation;
        item.state = EntryState::Live;
        *self = Self {
            in_list: self.in_list,
            missing_since: self.missing_since,
            ..Self::new(item, now)
        };
    }

    /// Records a response of the process.
    pub(super) fn record_response(&mut self, now: Time) {
        self.last_response = Some(now);
        self.failures = None;
    }

    /// Records a failed call or connection.
    pub(super) fn record_failure(&mut self, now: Time) {
        let (first, count) = self.failures.unwrap_or((now, 0));
        self.failures = Some((first, count.saturating_add(1)));
    }

    /// Returns whether the entry is missing from the list and the process hasn't responded lately.
    pub(super) fn is_gone(&self, now: Time) -> bool {
        let older = |t: Time, ms: u64| now.since_us(t) > ms * 1_000;
        let missing = self
            .missing_since
            .is_some_and(|t| older(t, MISSING_GRACE_MS));
        missing
            && self
                .last_response
                .is_none_or(|t| older(t, RESPONSE_GRACE_MS))
    }

    /// Returns whether no frame came from the instance for too long. A new process has the same time
    /// for its first one.
    pub(super) fn is_heartbeat_overdue(&self, now: Time) -> bool {
        let last = self.last_response.unwrap_or(self.known_since);
        now.since_us(last) >= SILENT_MS * 1_000
    }

    /// Returns whether the process only failed for too long. A single failure is not sufficient.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        let long = |first| now.since_us(first) >= SILENT_MS * 1_000;
        self.failures
            .is_some_and(|(first, count)| count > 1 && long(first))
    }
}
