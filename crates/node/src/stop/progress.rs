//! Work in progress at an instance.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::Token;

/// Requests in progress, and how far a planned stop has come.
#[derive(Debug, Default)]
pub struct Progress {
    leaving: AtomicBool,
    busy: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    /// Cancelled when no further connection is accepted and idle ones are closed.
    pub drain: Token,
}

/// One unit of work, counted until dropped.
#[derive(Debug)]
pub struct Busy {
    count: Arc<AtomicU64>,
    total: u64,
}

impl Busy {
    fn new(count: &Arc<AtomicU64>) -> Self {
        Self {
            count: Arc::clone(count),
            total: count.fetch_add(1, Ordering::AcqRel) + 1,
        }
    }

    /// Units in progress when this one began, itself included.
    pub const fn total(&self) -> u64 {
        self.total
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Progress {
    /// Counts a request from its first byte to the last byte of its answer.
    pub fn start(&self) -> Busy {
        Busy::new(&self.busy)
    }

    /// Requests in progress.
    pub fn busy(&self) -> u64 {
        self.busy.load(Ordering::Acquire)
    }

    /// Counts a caller's connection.
    pub fn connect(&self) -> Busy {
        Busy::new(&self.connections)
    }

    /// Callers' connections.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Acquire)
    }

    /// Whether a planned stop began.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Begins a planned stop. `false` if one began before.
    pub fn leave(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }
}
