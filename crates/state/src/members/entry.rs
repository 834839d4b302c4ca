//! What is known of one instance or target.

use model::Time;
use wire::{EntryState, ListEntry};

use super::{FLAP_MS, PROOF_MS, SILENT_MS};

/// An entry of the list and the signs of life of its process.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) item: ListEntry,
    /// Whether the last answer contained the entry.
    pub(super) listed_now: bool,
    /// When the list was first believed to lack the entry.
    pub(super) missing_since: Option<Time>,
    /// Whether the process was ever said to be leaving.
    pub(super) left: bool,
    /// Last response of the process.
    pub(super) seen: Option<Time>,
    /// When the process became known.
    since: Time,
    /// First failure after the last response, and the number of failures since.
    failing: Option<(Time, u32)>,
}

impl Entry {
    pub(super) fn new(item: ListEntry, now: Time) -> Self {
        Self {
            left: item.state == EntryState::Leaving,
            item,
            listed_now: false,
            missing_since: None,
            seen: None,
            since: now,
            failing: None,
        }
    }

    /// Takes what the list says. An older process of the same name is ignored.
    pub(super) fn take_item(&mut self, item: &ListEntry, now: Time) {
        if item.incarnation < self.item.incarnation {
            return;
        }
        self.renew(item.incarnation, now);
        self.left |= item.state == EntryState::Leaving;
        // Most entries of a poll are unchanged. Keeping the old one avoids 730 copies a second.
        if self.item != *item {
            self.item.clone_from(item);
        }
        self.listed_now = true;
    }

    /// Starts anew if `incarnation` is that of a later process.
    pub(super) fn renew(&mut self, incarnation: u64, now: Time) {
        if incarnation <= self.item.incarnation {
            return;
        }
        let mut item = self.item.clone();
        item.incarnation = incarnation;
        item.state = EntryState::Live;
        *self = Self {
            listed_now: self.listed_now,
            missing_since: self.missing_since,
            ..Self::new(item, now)
        };
    }

    pub(super) fn answered(&mut self, now: Time) {
        self.seen = Some(now);
        self.failing = None;
    }

    pub(super) fn failed(&mut self, now: Time) {
        let (first, count) = self.failing.unwrap_or((now, 0));
        self.failing = Some((first, count.saturating_add(1)));
    }

    /// Whether the entry is missing from the list and nothing proves that the process lives.
    pub(super) fn is_gone(&self, now: Time) -> bool {
        let older = |t: Time, ms: u64| now.since_us(t) > ms * 1_000;
        let missing = self.missing_since.is_some_and(|t| older(t, FLAP_MS));
        missing && self.seen.is_none_or(|t| older(t, PROOF_MS))
    }

    /// Whether no heartbeat came for too long. A new process has as long to send its first.
    pub(super) fn is_unheard(&self, now: Time) -> bool {
        let last = self.seen.unwrap_or(self.since);
        now.since_us(last) >= SILENT_MS * 1_000
    }

    /// Whether the process only failed for too long. A single failure is no proof.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        let long = |first| now.since_us(first) >= SILENT_MS * 1_000;
        self.failing
            .is_some_and(|(first, count)| count > 1 && long(first))
    }
}
