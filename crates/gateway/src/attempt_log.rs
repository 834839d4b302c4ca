//! Attempts of one request and their outcomes, for its log line.

use std::{
    fmt::{Display, Write},
    net::SocketAddr,
};

use crate::selection::SelectedTarget;

/// Attempts of one request and their outcomes.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Number of attempts, without those that ended before anything was sent.
    pub attempts: u32,
    /// Number of attempts that ended before anything was sent.
    pub unsent: u32,
    /// Hash of what is the same each time that the request comes, once its key is checked.
    pub hash: u64,
    path: String,
}

impl AttemptLog {
    /// Records the outcome `what` of one attempt.
    pub fn record(&mut self, selected: &SelectedTarget, what: &str, took_us: u64) {
        self.push(&selected.id, what, took_us);
    }

    /// Records the outcome `what` of forwarding the request through the instance at `addr`.
    pub fn record_peer(&mut self, addr: SocketAddr, what: &str, took_us: u64) {
        self.push(&format_args!("peer-{addr}"), what, took_us);
    }

    fn push(&mut self, name: &impl Display, what: &str, took_us: u64) {
        let space = if self.path.is_empty() { "" } else { " " };
        // Writing into a string cannot fail.
        let _ = write!(self.path, "{space}{name}:{what}:{}ms", took_us / 1_000);
    }

    /// Returns each target with outcome and time, in the order in which the attempts ended.
    pub fn summary(&self) -> &str {
        &self.path
    }
}
