//! Retained records of one stream.

use std::collections::VecDeque;

use wire::LogEntry;

#[derive(Debug)]
pub(super) struct Records {
    /// Offset of the oldest retained record.
    pub(super) first_offset: u64,
    retained: VecDeque<String>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            first_offset: 1,
            retained: VecDeque::new(),
        }
    }
}

impl Records {
    /// Returns the offset that the next record gets.
    pub(super) fn next_offset(&self) -> u64 {
        self.first_offset + self.retained.len() as u64
    }

    /// Appends a record.
    pub(super) fn push(&mut self, line: String) {
        self.retained.push_back(line);
    }

    /// Removes all records before `first_offset`.
    pub(super) fn expire(&mut self, first_offset: u64) {
        while self.first_offset < first_offset && self.retained.pop_front().is_some() {
            self.first_offset += 1;
        }
    }

    /// Removes all but the last `max_records` records.
    pub(super) fn trim(&mut self, max_records: usize) {
        let surplus = self.retained.len().saturating_sub(max_records);
        self.expire(self.first_offset + surplus as u64);
    }

    /// Returns up to `limit` records from the offset `from` on.
    pub(super) fn read(&self, from: u64, limit: usize) -> Vec<LogEntry> {
        let skip = usize::try_from(from.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        let records = self.retained.iter().enumerate().skip(skip).take(limit);
        records
            .map(|(i, data)| LogEntry {
                offset: self.first_offset + i as u64,
                data: data.clone(),
            })
            .collect()
    }
}
