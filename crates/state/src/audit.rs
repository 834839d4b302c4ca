//! Audit trail: who proposed what, against which base, with which outcome, and when.

use std::collections::VecDeque;

use model::Wall;
use serde::{Deserialize, Serialize};
use wire::AuditEntry;

/// Largest number of entries: 30 days of 800 configuration changes a day.
const MAX_ENTRIES: usize = 24_000;
/// Age above which entries are dropped, by the clocks of the authors.
const MAX_AGE_MS: u64 = 30 * DAY_MS;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Audit entries in offset order, bounded in number and age. Part of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Audit {
    /// Each entry with the value of `clock` when it was added, from which its age is counted.
    entries: VecDeque<(Wall, AuditEntry)>,
    /// Latest author time so far. One record advances it by at most a day, so that a single wrong
    /// clock cannot empty the trail.
    clock: Wall,
}

impl Audit {
    /// Adds an entry and drops those that exceed the bounds.
    pub(crate) fn add(&mut self, entry: AuditEntry) {
        let limit = if self.entries.is_empty() {
            entry.at
        } else {
            self.clock.plus_ms(DAY_MS)
        };
        self.clock = self.clock.max(entry.at.min(limit));
        self.entries.push_back((self.clock, entry));
        while self.entries.len() > MAX_ENTRIES || self.is_front_old() {
            self.entries.pop_front();
        }
    }

    /// Returns the entries in offset order.
    pub(crate) fn entries(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    fn is_front_old(&self) -> bool {
        let front = self.entries.front();
        front.is_some_and(|(added, _)| self.clock.since_ms(*added) > MAX_AGE_MS)
    }
}
