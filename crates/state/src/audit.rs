//! The audit trail: who proposed what, against which base, with which outcome, and when.

use std::collections::VecDeque;

use model::Wall;
use serde::{Deserialize, Serialize};
use wire::AuditEntry;

/// Entries kept: 30 days of 800 configuration changes a day.
const MAX_ENTRIES: usize = 24_000;
/// Age at which entries are dropped, in author time.
const MAX_AGE_MS: u64 = 30 * DAY_MS;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Bounded trail in offset order. Part of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Audit {
    /// Each entry with the trail's time when it was added, by which it ages.
    entries: VecDeque<(Wall, AuditEntry)>,
    /// Latest author time. One record moves it by at most a day, so that a single wrong clock
    /// cannot empty the trail.
    clock: Wall,
}

impl Audit {
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

    pub(crate) fn entries(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    fn is_front_old(&self) -> bool {
        let front = self.entries.front();
        front.is_some_and(|(added, _)| self.clock.since_ms(*added) > MAX_AGE_MS)
    }
}
