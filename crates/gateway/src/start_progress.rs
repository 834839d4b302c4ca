//! How far this instance has got with its start, for the time that refused callers are told.

use std::cell::Cell;

use balance::{StartStage, expected_ready_ms};
use model::Time;

/// Progress of the start of an instance.
#[derive(Debug, Default)]
pub struct StartProgress {
    has_answer: Cell<bool>,
    /// Requests for a snapshot to instances that have one.
    fetches: Cell<u32>,
    /// Time of the first one of these.
    fetched_at: Cell<Time>,
}

impl StartProgress {
    /// Records that another instance has answered, without a snapshot.
    pub fn record_answer(&self) {
        self.has_answer.set(true);
    }

    /// Records that a snapshot is asked of an instance that has one, until the guard is dropped.
    pub fn begin_fetch(&self, now: Time) -> FetchGuard<'_> {
        if self.fetches.get() == 0 {
            self.fetched_at.set(now);
        }
        self.fetches.set(self.fetches.get() + 1);
        FetchGuard(self)
    }

    /// Returns the time after which an instance that started at `started` expects to be ready, in
    /// milliseconds.
    pub fn expected_ready_ms(&self, started: Time, now: Time) -> u64 {
        let since_ms = now.since_us(started) / 1_000;
        let stage_ms = self.fetched_at.get().since_us(started) / 1_000;
        let stage = if self.fetches.get() > 0 {
            StartStage::Snapshot
        } else if self.has_answer.get() {
            StartStage::Answer
        } else {
            StartStage::Nothing
        };
        expected_ready_ms(since_ms, stage_ms, stage)
    }
}

/// A request for a snapshot that is in progress.
#[derive(Debug)]
pub struct FetchGuard<'a>(&'a StartProgress);

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.0.fetches.set(self.0.fetches.get() - 1);
    }
}

#[cfg(test)]
mod tests;
