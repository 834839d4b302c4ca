//! What targets have said of themselves in responses and what must outlast their entries: that they
//! leave, and that they want no requests from this instance for some time.

use std::collections::HashMap;

use model::{TargetId, Time};

/// Time for which a note is kept, in microseconds. A target may serve for many seconds after it began
/// to leave, and an older entry may come back with the store.
const KEPT_US: u64 = 600_000_000;
/// Most notes kept; bounds what faulty instances can cause.
const MAX_NOTES: usize = 16_384;
/// Longest time for which a target can turn requests away, in milliseconds. A longer one is more
/// likely a mistake.
const MAX_CLOSED_MS: u64 = 300_000;

/// Note on one process of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNote {
    /// Whether it has said that it leaves.
    pub is_leaving: bool,
    /// End of the time for which it wants no requests from this instance.
    pub closed_until: Time,
    noted_at: Time,
}

/// Notes by the target's name and the start of its process. They do not apply to a later process.
#[derive(Clone, Debug, Default)]
pub struct TargetNotes {
    notes: HashMap<(TargetId, u64), TargetNote>,
}

impl TargetNotes {
    /// Returns the note on a process; an empty one if there is none.
    #[must_use]
    pub fn get(&self, id: &TargetId, born: u64) -> TargetNote {
        let note = self.notes.get(&(id.clone(), born));
        note.copied().unwrap_or_default()
    }

    /// Records that a process has said that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, id: &TargetId, born: u64, now: Time) -> bool {
        let Some(note) = self.entry(id, born, now) else {
            return false;
        };
        !std::mem::replace(&mut note.is_leaving, true)
    }

    /// Records that a process wants no requests for `for_ms` from now on. A shorter time that is
    /// stated later does not end a longer one.
    pub fn record_closed(&mut self, id: &TargetId, born: u64, now: Time, for_ms: u64) {
        let until = now.plus_ms(for_ms.min(MAX_CLOSED_MS));
        if let Some(note) = self.entry(id, born, now) {
            note.closed_until = note.closed_until.max(until);
        }
    }

    fn entry(&mut self, id: &TargetId, born: u64, now: Time) -> Option<&mut TargetNote> {
        let key = (id.clone(), born);
        if self.notes.len() >= MAX_NOTES && !self.notes.contains_key(&key) {
            return None;
        }
        let note = self.notes.entry(key).or_default();
        note.noted_at = now;
        Some(note)
    }

    /// Returns the processes that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetId, u64)> {
        let leaving = self.notes.iter().filter(|(_, note)| note.is_leaving);
        leaving.map(|((id, born), _)| (id, *born))
    }

    /// Removes old notes.
    pub fn sweep(&mut self, now: Time) {
        self.notes
            .retain(|_, note| now.since_us(note.noted_at) < KEPT_US);
    }
}

#[cfg(test)]
mod tests;
