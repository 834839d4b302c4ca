//! Work in progress at an instance.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::Token;

/// Calls and connections in progress, and the state of a planned stop.
#[derive(Debug, Default)]
pub struct Progress {
    leaving: AtomicBool,
    calls: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    /// Cancelled by a planned stop to accept no further connections and to close idle ones.
    pub drain: Token,
}

/// Counts one call or connection as in progress until dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    count: Arc<AtomicU64>,
    total: u64,
}

impl InProgressGuard {
    fn new(count: &Arc<AtomicU64>) -> Self {
        Self {
            count: Arc::clone(count),
            total: count.fetch_add(1, Ordering::AcqRel) + 1,
        }
    }

    /// Returns the number in progress when this one began, itself included.
    pub const fn total(&self) -> u64 {
        self.total
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Progress {
    /// Counts a call as in progress while the returned guard exists: from the first byte of the request
    /// to the last byte of the response.
    pub fn start_call(&self) -> InProgressGuard {
        InProgressGuard::new(&self.calls)
    }

    /// Returns the number of calls in progress.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Acquire)
    }

    /// Counts a caller's connection as open while the returned guard exists.
    pub fn start_connection(&self) -> InProgressGuard {
        InProgressGuard::new(&self.connections)
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Begins a planned stop. Returns `false` if one had already begun.
    pub fn begin_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }
}
