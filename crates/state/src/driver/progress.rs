//! Time that a move has been at its share, and that its new version has been missing from the list.

use model::{ServiceName, Time};
use policy::moves::Assessment;

use super::{DriverInput, MoveEvidence};
use crate::MoveState;

/// Time before the deadline by which a move is planned to reach full share: the margin for `Done`
/// and a second for the waits by rank and a slow log.
const LAST_STEP_MARGIN_MS: u64 = 3_000;
/// A share is kept for this fraction (1/n) of the time left when the evidence is insufficient.
const UNPROVEN_DIVISOR: u64 = 4;
/// A share is kept for this fraction (1/n) of the time left when the evidence is good. A long
/// deadline leads to slow steps, so that a fault that shows only under load affects a small fraction
/// of all calls.
const GOOD_DIVISOR: u64 = 8;
/// Shortest time at a share, so that evidence collected at this share can arrive.
const MIN_SHARE_MS: u64 = 300;
/// Time without a listed target after which a version counts as vanished.
const VANISHED_MS: u64 = 5_000;

/// Progress of an open move as this instance observed it.
#[derive(Clone, Debug)]
pub(super) struct MoveProgress {
    share: u16,
    /// Monotonic time at which this instance first saw the current share. It does not depend on the
    /// wall clocks of other instances.
    share_since: Time,
    /// Time that was left for the move at `share_since`.
    left_ms: u64,
    /// Time since which the list has shown no target of the new version that is not leaving.
    missing_since: Option<Time>,
}

impl MoveProgress {
    pub(super) fn new(input: DriverInput<'_>, move_state: &MoveState) -> Self {
        Self {
            share: move_state.share,
            share_since: input.now,
            left_ms: left_ms(input, move_state),
            missing_since: None,
        }
    }

    /// Updates the progress from the current share and the instance list.
    pub(super) fn update(
        &mut self,
        input: DriverInput<'_>,
        service: &ServiceName,
        move_state: &MoveState,
    ) {
        if self.share != move_state.share {
            self.share = move_state.share;
            self.share_since = input.now;
            self.left_ms = left_ms(input, move_state);
        }
        if input.members.lists_version(service, &move_state.to) {
            self.missing_since = None;
        } else {
            self.missing_since.get_or_insert(input.now);
        }
    }

    /// Restarts the time for which the version may be missing.
    pub(super) fn forget_missing(&mut self) {
        self.missing_since = None;
    }

    /// Returns whether the new version has been missing from the list for too long.
    pub(super) fn has_vanished(&self, now: Time) -> bool {
        let long = |since| now.since_us(since) >= VANISHED_MS * 1_000;
        self.missing_since.is_some_and(long)
    }

    /// Returns whether the next step is due or, at full share, the verdict.
    pub(super) fn is_step_due(&self, now: Time, evidence: Option<&MoveEvidence>) -> bool {
        if self.missing_since.is_some() {
            return false;
        }
        if self.share == 0 {
            return true;
        }
        let good = evidence.is_some_and(|e| e.assessment == Assessment::Good);
        if good {
            return now.since_us(self.share_since) >= self.share_time_us(GOOD_DIVISOR);
        }
        let defer_step = evidence.is_some_and(|e| e.defer_step);
        !defer_step
            && self.left_ms > 0
            && now.since_us(self.share_since) >= self.share_time_us(UNPROVEN_DIVISOR)
    }

    /// Returns the time for which a share is kept.
    fn share_time_us(&self, divisor: u64) -> u64 {
        (self.left_ms / divisor).max(MIN_SHARE_MS) * 1_000
    }
}

/// Returns the time until the move should reach full share.
fn left_ms(input: DriverInput<'_>, move_state: &MoveState) -> u64 {
    let left = move_state.deadline.since_ms(input.wall);
    left.saturating_sub(LAST_STEP_MARGIN_MS)
}
