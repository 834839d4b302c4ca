//! Counters of an upstream.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

/// A snapshot of an upstream's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Calls that started to run.
    pub ran: u64,
    /// Calls that were refused without running.
    pub refused: u64,
    /// Calls whose connection closed while they ran.
    pub cancelled: u64,
    /// Calls that did not finish before the deadline of their request.
    pub expired: u64,
    /// Calls answered with status 500.
    pub failed: u64,
    /// Calls that ran beyond the limit of a cold start.
    pub over_cold_limit: u64,
    /// Responses to which a [`super::ResponseFault`] was applied.
    pub faulty_responses: u64,
    /// Requests of the health or load endpoint.
    pub probes: u64,
    /// Largest number of calls that ran at the same time.
    pub max_running: u32,
    /// Time that calls used slots, summed over all slots, in microseconds.
    pub busy_us: u64,
}

impl UpstreamCounts {
    /// Adds the counters of another upstream. `max_running` becomes the larger one of both.
    pub fn add(&mut self, other: Self) {
        self.ran += other.ran;
        self.refused += other.refused;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.failed += other.failed;
        self.over_cold_limit += other.over_cold_limit;
        self.faulty_responses += other.faulty_responses;
        self.probes += other.probes;
        self.max_running = self.max_running.max(other.max_running);
        self.busy_us += other.busy_us;
    }
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) running: AtomicU32,
    pub(super) max_running: AtomicU32,
    pub(super) ran: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) expired: AtomicU64,
    pub(super) failed: AtomicU64,
    pub(super) over_cold_limit: AtomicU64,
    pub(super) faulty_responses: AtomicU64,
    pub(super) probes: AtomicU64,
    pub(super) busy_us: AtomicU64,
    run_counts: Mutex<HashMap<String, u64>>,
    /// Times at which the first and the latest call started to run.
    start_times: Mutex<Option<(Instant, Instant)>>,
}

impl Counters {
    pub(super) fn read(&self) -> UpstreamCounts {
        UpstreamCounts {
            ran: self.ran.load(Relaxed),
            refused: self.refused.load(Relaxed),
            cancelled: self.cancelled.load(Relaxed),
            expired: self.expired.load(Relaxed),
            failed: self.failed.load(Relaxed),
            over_cold_limit: self.over_cold_limit.load(Relaxed),
            faulty_responses: self.faulty_responses.load(Relaxed),
            probes: self.probes.load(Relaxed),
            max_running: self.max_running.load(Relaxed),
            busy_us: self.busy_us.load(Relaxed),
        }
    }

    /// Records that a call starts to run. `key` is its idempotency key or caller id.
    pub(super) fn record_start(&self, key: Option<&str>) {
        self.ran.fetch_add(1, Relaxed);
        self.record_start_time(Instant::now());
        if let Some(key) = key {
            let mut run_counts = self
                .run_counts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *run_counts.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Adds the time that a call used a slot.
    pub(super) fn add_busy(&self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.busy_us.fetch_add(us, Relaxed);
    }

    pub(super) fn run_counts(&self) -> HashMap<String, u64> {
        self.run_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn record_start_time(&self, now: Instant) {
        let mut start_times = self
            .start_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let first = start_times.map_or(now, |(first, _)| first);
        *start_times = Some((first, now));
    }

    /// Returns the times at which the first and the latest call started to run.
    pub(super) fn start_times(&self) -> Option<(Instant, Instant)> {
        *self
            .start_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
