//! Assigns calls to the two versions of a move.

use crate::ActiveMove;

/// One call in basis points.
const WHOLE: u32 = 10_000;

/// Split of calls between versions. At any moment at most `share` of the starts since the move began
/// plus one were on the new version.
#[derive(Clone, Debug)]
pub(crate) struct VersionSplit {
    move_id: String,
    share: u32,
    phase: u32,
    credit: u32,
}

impl VersionSplit {
    /// A split without a move. `phase`, below 10,000, spreads the first new call over instances.
    pub(crate) fn new(phase: u32) -> Self {
        Self {
            move_id: String::new(),
            share: 0,
            phase: phase % WHOLE,
            credit: 0,
        }
    }

    /// Takes the move in progress.
    pub(crate) fn set(&mut self, active_move: Option<&ActiveMove>) {
        let Some(active_move) = active_move else {
            self.move_id.clear();
            self.share = 0;
            return;
        };
        if self.move_id != active_move.move_id {
            self.move_id.clone_from(&active_move.move_id);
            self.credit = self.phase;
        }
        let share = u32::from(active_move.share).min(WHOLE);
        if share < self.share {
            self.credit = self.credit.min(WHOLE - 1);
        }
        self.share = share;
    }

    /// Whether the next start may be on the new version.
    pub(crate) fn allows_new(&self) -> bool {
        self.share > 0 && self.credit + self.share >= WHOLE
    }

    /// Counts a start.
    pub(crate) fn count(&mut self, new: bool) {
        self.credit = (self.credit + self.share).min(2 * WHOLE - 1);
        if new {
            self.credit = self.credit.saturating_sub(WHOLE);
        }
    }
}

#[cfg(test)]
mod tests;
