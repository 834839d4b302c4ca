//! The latest changes of entries in the order of their offsets, from whatever source this instance
//! has them.

use std::collections::VecDeque;

use crate::EntryChange;

/// Most changes kept. A restart of all targets of a large system makes about three changes each.
const MAX_CHANGES: usize = 2_048;

/// The changes of entries between two offsets of the store's records.
///
/// What an update covers is decided by offsets alone. If it were decided by what an instance has
/// learned from one source, changes that came from another one would be missing from updates that
/// cover their offsets.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    /// Offset from which on all changes are kept.
    start: u64,
    /// Offset after the last known record; `None` until all entries were listed.
    next: Option<u64>,
    changes: VecDeque<(u64, EntryChange)>,
}

impl EntryLog {
    /// Returns the offset after the last known record; `None` until all entries were listed.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Adds the changes up to offset `next`. Those before the known end are ignored. The first call
    /// has the changes of a complete listing, which are not kept.
    pub fn extend(&mut self, next: u64, changes: impl IntoIterator<Item = (u64, EntryChange)>) {
        let Some(known) = self.next.replace(next) else {
            self.start = next;
            return;
        };
        self.next = Some(next.max(known));
        let new = changes.into_iter().filter(|(offset, _)| *offset >= known);
        self.changes.extend(new);
        while self.changes.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.start = dropped + 1;
            // Changes that a listing has shown share one offset.
            while self.changes.front().is_some_and(|(o, _)| *o == dropped) {
                self.changes.pop_front();
            }
        }
    }

    /// Returns all changes from offset `from` on, and the offset from which they are complete. It
    /// is later than `from` if older changes are not kept any more.
    #[must_use]
    pub fn since(&self, from: u64) -> (u64, Vec<(u64, EntryChange)>) {
        let from = from.max(self.start);
        let kept = self.changes.iter().filter(|(offset, _)| *offset >= from);
        (from, kept.cloned().collect())
    }
}

#[cfg(test)]
mod tests;
