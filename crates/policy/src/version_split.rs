//! Splits calls between the two versions of a move.

use crate::ActiveMove;

/// Credit that one start on the new version costs, in basis points.
const CALL_CREDIT: u32 = 10_000;

/// Splits starts between the two versions. Each start earns `share` basis points of credit and a
/// start on the new version costs 10,000, so that at any moment at most `share` of the starts since
/// the move began, plus one, were on the new version.
#[derive(Clone, Debug)]
pub(crate) struct VersionSplit {
    move_id: String,
    share: u32,
    /// Credit with which each move begins.
    phase: u32,
    credit: u32,
}

impl VersionSplit {
    /// Creates a split without a move. A random `phase` makes instances send their first call to
    /// the new version at different times. It is reduced modulo 10,000.
    pub(crate) fn new(phase: u32) -> Self {
        Self {
            move_id: String::new(),
            share: 0,
            phase: phase % CALL_CREDIT,
            credit: 0,
        }
    }

    /// Sets the move in progress, or none. A lower share takes effect at once: credit beyond one
    /// call is forfeited.
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
        let share = u32::from(active_move.share).min(CALL_CREDIT);
        if share < self.share {
            self.credit = self.credit.min(CALL_CREDIT - 1);
        }
        self.share = share;
    }

    /// Returns whether the next start may be on the new version.
    pub(crate) fn allows_new(&self) -> bool {
        self.share > 0 && self.credit + self.share >= CALL_CREDIT
    }

    /// Records a start, on the new version if `new`.
    pub(crate) fn record_start(&mut self, new: bool) {
        self.credit = (self.credit + self.share).min(2 * CALL_CREDIT - 1);
        if new {
            self.credit = self.credit.saturating_sub(CALL_CREDIT);
        }
    }
}

#[cfg(test)]
mod tests;
