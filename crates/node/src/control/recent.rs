//! The last log records, kept to be sent to peers that lag behind.

use std::collections::VecDeque;

use wire::LogEntry;

/// Maximum number of records kept.
const MAX_RECORDS: usize = 512;
/// Maximum total size of the records kept, in bytes.
const MAX_BYTES: usize = 1024 * 1024;
/// Maximum size of the records in one message, in bytes; three records of the largest size fit.
const CHUNK_BYTES: usize = 200 * 1024;

/// Consecutive records up to the last one applied.
#[derive(Debug, Default)]
pub struct RecentRecords {
    records: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentRecords {
    /// Adds a record. If it does not directly follow the last one, all earlier records are dropped.
    pub fn push(&mut self, entry: &LogEntry) {
        if self
            .records
            .back()
            .is_some_and(|last| last.offset + 1 != entry.offset)
        {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += entry.data.len();
        self.records.push_back(entry.clone());
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(old) = self.records.pop_front() else {
                return;
            };
            self.bytes -= old.data.len();
        }
    }

    /// Returns the records from `from` on, as many as fit into one frame, or `None` if `from` is no longer kept.
    pub fn from(&self, from: u64) -> Option<Vec<LogEntry>> {
        let first = self.records.front()?.offset;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut bytes = 0;
        let mut chunk = Vec::new();
        for entry in self.records.iter().skip(skip) {
            bytes += entry.data.len();
            if bytes > CHUNK_BYTES {
                break;
            }
            chunk.push(entry.clone());
        }
        Some(chunk)
    }
}

#[cfg(test)]
mod tests;
