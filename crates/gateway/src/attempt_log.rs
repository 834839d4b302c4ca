//! What became of one request, for its line in the log.

use std::fmt::Write;

use crate::selection::SelectedTarget;

/// Sends of one request and their outcomes.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Sends to targets.
    pub attempts: u32,
    /// Targets to which no connection could be opened.
    pub unsent: u32,
    path: String,
}

impl AttemptLog {
    /// Adds the outcome of one send.
    pub fn record(&mut self, selected: &SelectedTarget, what: &str, took_us: u64) {
        let space = if self.path.is_empty() { "" } else { " " };
        // Writing into a string cannot fail.
        let _ = write!(
            self.path,
            "{space}{}:{what}:{}ms",
            selected.id,
            took_us / 1_000
        );
    }

    /// Each target with outcome and time, in order.
    pub fn summary(&self) -> &str {
        &self.path
    }
}
