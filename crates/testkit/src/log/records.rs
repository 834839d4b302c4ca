//! Records of one stream.

use std::collections::VecDeque;

use wire::LogEntry;

#[derive(Debug)]
pub(super) struct Records {
    pub(super) first: u64,
    kept: VecDeque<String>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            first: 1,
            kept: VecDeque::new(),
        }
    }
}

impl Records {
    pub(super) fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    pub(super) fn push(&mut self, line: String) {
        self.kept.push_back(line);
    }

    /// Removes all records before `first`.
    pub(super) fn expire(&mut self, first: u64) {
        while self.first < first && self.kept.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Removes all but the last `keep` records.
    pub(super) fn trim(&mut self, keep: usize) {
        let surplus = self.kept.len().saturating_sub(keep);
        self.expire(self.first + surplus as u64);
    }

    pub(super) fn read(&self, from: u64, limit: usize) -> Vec<LogEntry> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let kept = self.kept.iter().enumerate().skip(skip).take(limit);
        kept.map(|(i, data)| LogEntry {
            offset: self.first + i as u64,
            data: data.clone(),
        })
        .collect()
    }
}
