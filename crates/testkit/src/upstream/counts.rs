//! What an upstream counted.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

/// Counters of an upstream at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Calls that were run to their end or are running.
    pub ran: u64,
    /// Calls that were refused without running.
    pub refused: u64,
    /// Calls whose connection closed while they ran.
    pub cancelled: u64,
    /// Calls that ran into the deadline that came with them.
    pub expired: u64,
    /// Calls answered with status 500.
    pub failed: u64,
    /// Calls that ran while cold, beyond the cold limit.
    pub cold_over: u64,
    /// Answers that were wrong on the wire.
    pub wrong: u64,
    /// Requests for health or load.
    pub probes: u64,
    /// Most calls that ran at a time.
    pub peak: u32,
    /// Time that slots were in use, in microseconds.
    pub busy_us: u64,
}

impl UpstreamCounts {
    /// Adds the counters of another upstream. The peak becomes the larger one.
    pub fn add(&mut self, other: Self) {
        self.ran += other.ran;
        self.refused += other.refused;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.failed += other.failed;
        self.cold_over += other.cold_over;
        self.wrong += other.wrong;
        self.probes += other.probes;
        self.peak = self.peak.max(other.peak);
        self.busy_us += other.busy_us;
    }
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) running: AtomicU32,
    pub(super) peak: AtomicU32,
    pub(super) ran: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) expired: AtomicU64,
    pub(super) failed: AtomicU64,
    pub(super) cold_over: AtomicU64,
    pub(super) wrong: AtomicU64,
    pub(super) probes: AtomicU64,
    pub(super) busy_us: AtomicU64,
    keys: Mutex<HashMap<String, u64>>,
    starts: Mutex<Option<(Instant, Instant)>>,
}

impl Counters {
    pub(super) fn read(&self) -> UpstreamCounts {
        UpstreamCounts {
            ran: self.ran.load(Relaxed),
            refused: self.refused.load(Relaxed),
            cancelled: self.cancelled.load(Relaxed),
            expired: self.expired.load(Relaxed),
            failed: self.failed.load(Relaxed),
            cold_over: self.cold_over.load(Relaxed),
            wrong: self.wrong.load(Relaxed),
            probes: self.probes.load(Relaxed),
            peak: self.peak.load(Relaxed),
            busy_us: self.busy_us.load(Relaxed),
        }
    }

    /// Notes that a call starts to run.
    pub(super) fn start(&self, key: Option<&str>) {
        self.ran.fetch_add(1, Relaxed);
        self.note_start(Instant::now());
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
            *keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn add_busy(&self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.busy_us.fetch_add(us, Relaxed);
    }

    pub(super) fn keys(&self) -> HashMap<String, u64> {
        self.keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn note_start(&self, now: Instant) {
        let mut starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        let first = starts.map_or(now, |(first, _)| first);
        *starts = Some((first, now));
    }

    /// When the first and the last call started to run.
    pub(super) fn starts(&self) -> Option<(Instant, Instant)> {
        *self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
