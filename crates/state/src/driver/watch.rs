//! How long a move has been at its share, and how long its version has been missing.

use model::{ServiceName, Time};
use policy::moves::Assessment;

use super::{DriverInput, MoveEvidence};
use crate::MoveState;

/// The last step is planned this long before the deadline: the margin of `Done` and a second for
/// turns and a slow log.
const PLAN_MARGIN_MS: u64 = 3_000;
/// Part of the time left that a share is kept without enough evidence.
const IDLE_PART: u64 = 4;
/// Part of the time left that a share is kept although the version is good. An operator who allows
/// much time gets slow steps, so that a fault that shows only under load meets a small part of all
/// calls.
const GOOD_PART: u64 = 8;
/// Shortest time at a share, so that evidence from it can arrive.
const MIN_STEP_MS: u64 = 300;
/// Absence from the list after which a version has vanished.
const VANISHED_MS: u64 = 5_000;

/// What this instance saw of an open move.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    share: u16,
    /// When this instance saw the share first. Monotonic, so that clocks that differ do not matter.
    since: Time,
    /// Time that was left for the move then.
    left_ms: u64,
    missing: Option<Time>,
}

impl Watch {
    pub(super) fn new(input: DriverInput<'_>, shift: &MoveState) -> Self {
        Self {
            share: shift.share,
            since: input.now,
            left_ms: left_ms(input, shift),
            missing: None,
        }
    }

    pub(super) fn update(
        &mut self,
        input: DriverInput<'_>,
        service: &ServiceName,
        shift: &MoveState,
    ) {
        if self.share != shift.share {
            self.share = shift.share;
            self.since = input.now;
            self.left_ms = left_ms(input, shift);
        }
        if input.members.is_listed(service, &shift.to) {
            self.missing = None;
        } else {
            self.missing.get_or_insert(input.now);
        }
    }

    pub(super) fn forget_missing(&mut self) {
        self.missing = None;
    }

    pub(super) fn is_vanished(&self, now: Time) -> bool {
        let long = |since| now.since_us(since) >= VANISHED_MS * 1_000;
        self.missing.is_some_and(long)
    }

    /// Whether the next step, or the verdict at full share, is due.
    pub(super) fn may_advance(&self, now: Time, evidence: Option<&MoveEvidence>) -> bool {
        if self.missing.is_some() {
            return false;
        }
        if self.share == 0 {
            return true;
        }
        let good = evidence.is_some_and(|e| e.opinion == Assessment::Good);
        if good {
            return now.since_us(self.since) >= self.part_us(GOOD_PART);
        }
        let doubt = evidence.is_some_and(|e| e.doubtful);
        !doubt && self.left_ms > 0 && now.since_us(self.since) >= self.part_us(IDLE_PART)
    }

    fn part_us(&self, part: u64) -> u64 {
        (self.left_ms / part).max(MIN_STEP_MS) * 1_000
    }
}

fn left_ms(input: DriverInput<'_>, shift: &MoveState) -> u64 {
    let left = shift.deadline.since_ms(input.wall);
    left.saturating_sub(PLAN_MARGIN_MS)
}
