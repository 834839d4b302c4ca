//! The latest changes of entries in the order of their offsets, from whatever source this instance
//! has them.

use std::collections::{BTreeMap, HashMap};

use model::TargetId;

use crate::EntryChange;

/// Most changes kept, with one for each target. A large system has some hundred targets.
const MAX_CHANGES: usize = 2_048;

/// The latest change of each target whose entry changed between two offsets of the store's records.
///
/// What an update covers is decided by offsets alone. If it were decided by what an instance has
/// learned from one source, changes that came from another one would be missing from updates that
/// cover their offsets.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    /// Era of the store in which the offsets were given out.
    era: u64,
    /// Offset from which on all changes are kept.
    start: u64,
    /// Offset after the last known record; `None` until all entries were listed.
    next: Option<u64>,
    /// Changes by offset, and by the order of those that a listing has shown at one offset.
    changes: BTreeMap<(u64, usize), EntryChange>,
    /// Where the change of each target is.
    latest: HashMap<TargetId, (u64, usize)>,
}

impl EntryLog {
    /// Returns the offset after the last known record; `None` until all entries were listed.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the era of the store in which the offsets were given out.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Starts anew, because the offsets are given out again in a later era.
    pub fn begin_era(&mut self, era: u64) {
        *self = Self {
            era,
            ..Self::default()
        };
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
        for (index, (offset, change)) in new.enumerate() {
            let key = (offset, index);
            if let Some(older) = self.latest.insert(change.target().clone(), key) {
                self.changes.remove(&older);
            }
            self.changes.insert(key, change);
        }
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.changes.len() > MAX_CHANGES
            && let Some(((offset, _), change)) = self.changes.pop_first()
        {
            self.latest.remove(change.target());
            // Other changes at the same offset are not returned any more, and dropped later.
            self.start = offset + 1;
        }
    }

    /// Returns the latest change of each target that changed from offset `from` on, and the offset
    /// from which they are complete. It is later than `from` if older changes are not kept any more.
    #[must_use]
    pub fn since(&self, from: u64) -> (u64, Vec<(u64, EntryChange)>) {
        let from = from.max(self.start);
        let kept = self.changes.range((from, 0)..);
        let changes = kept.map(|((offset, _), change)| (*offset, change.clone()));
        (from, changes.collect())
    }
}

#[cfg(test)]
mod tests;
