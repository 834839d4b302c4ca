//! Room that the admission of first-time requests leaves free at one instance. Addresses callers that
//! return as they were told and find that others have taken their room.

use super::slot::SLOT_MS;

/// Slots of room that may be saved up.
const SAVED_SLOTS: f64 = 1.5;
/// Slots of room, and requests, by which an instance may overdraw its room or exceed the callers that it
/// expects. The share of a small instance in a slot is less than one request.
const OVERDRAWN: f64 = 3.0;

/// Part of the work that is due and does not come that is still expected in the next slot. Callers are late by
/// a few milliseconds, and the share of a small instance in a slot is less than one request.
const LATE_KEPT: f64 = 0.7;
/// The same for work that has come beyond what was due.
const EARLY_KEPT: f64 = 0.9;
/// Part of the former value that the share of callers that do return keeps in each slot.
const SHOWN_WEIGHT: f64 = 0.8;
/// Share below which callers seem to return without stating less time than before.
const LEAST_SHOWN: f64 = 0.2;

/// Account of the room that this instance may use, in milliseconds of work.
#[derive(Clone, Debug)]
pub struct Gate {
    level_ms: f64,
    /// Room of a slot.
    room_ms: f64,
    /// Work of the callers that were told to return and have not yet; negative if more have returned.
    due_ms: f64,
    /// Work that was due at the start of the current slot or became due in it, and what came of it.
    announced_ms: f64,
    shown_ms: f64,
    /// Share of the callers told to return that have done so.
    shown: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            level_ms: 0.0,
            room_ms: 0.0,
            due_ms: 0.0,
            announced_ms: 0.0,
            shown_ms: 0.0,
            shown: 1.0,
        }
    }
}

impl Gate {
    /// Adds the room of `slots` slots, with `room_ms` each.
    pub fn fill(&mut self, room_ms: f64, elapsed_ms: f64) {
        let added_ms = room_ms * elapsed_ms / SLOT_MS as f64;
        self.room_ms = room_ms;
        self.level_ms = (self.level_ms + added_ms).min(SAVED_SLOTS * room_ms);
    }

    /// Starts a slot in which callers with `due_ms` of work are to return.
    pub fn begin_slot(&mut self, due_ms: f64) {
        if self.announced_ms > 0.0 {
            let shown = (self.shown_ms / self.announced_ms).min(1.0);
            self.shown = self.shown * SHOWN_WEIGHT + shown * (1.0 - SHOWN_WEIGHT);
        }
        let kept = if self.due_ms > 0.0 {
            LATE_KEPT
        } else {
            EARLY_KEPT
        };
        self.due_ms = due_ms + self.due_ms * kept;
        (self.announced_ms, self.shown_ms) = (due_ms, 0.0);
    }

    /// Adds claims on the current slot that have become known since it began.
    pub fn add_due(&mut self, due_ms: f64) {
        self.due_ms += due_ms;
        self.announced_ms += due_ms;
    }

    /// Returns the room that is kept for returning callers: no more than for the usual share of them.
    /// Some have no attempt left.
    pub fn kept_ms(&self) -> f64 {
        self.due_ms.max(0.0) * self.shown
    }

    /// Returns whether returning callers can be told from others. If not, the first that come count.
    pub fn tells_returns(&self) -> bool {
        self.shown >= LEAST_SHOWN
    }

    /// Returns whether there is room for a first-time request that leaves `kept_ms` free.
    pub fn has_room(&self, kept_ms: f64) -> bool {
        self.level_ms > kept_ms
    }

    /// Returns whether a returning caller is one of those expected.
    pub fn expects(&self, work_ms: f64) -> bool {
        self.due_ms > -self.overdraft_ms(work_ms)
    }

    /// Takes the room of an admitted request.
    pub fn take(&mut self, work_ms: f64) {
        self.level_ms = (self.level_ms - work_ms).max(-self.overdraft_ms(work_ms));
    }

    fn overdraft_ms(&self, work_ms: f64) -> f64 {
        OVERDRAWN * self.room_ms.max(work_ms)
    }

    /// Counts a returning caller that has arrived.
    pub fn record_shown(&mut self, work_ms: f64) {
        self.shown_ms += work_ms;
    }

    /// Counts an admitted request as one of those that were told to return.
    pub fn settle(&mut self, work_ms: f64) {
        self.due_ms -= work_ms;
    }
}
