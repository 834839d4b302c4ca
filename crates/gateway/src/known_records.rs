//! The operator's records that this instance has read before.

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use platform::Record;

/// Most records remembered, far more than the operator writes between two copies of the store.
const MAX_RECORDS: usize = 4_096;

/// The operator's records that this instance has read before, by offset and content. When the store
/// comes back from an earlier copy, they say nothing new.
#[derive(Debug, Default)]
pub struct KnownRecords {
    hashes: HashSet<u64>,
    oldest_first: VecDeque<u64>,
}

impl KnownRecords {
    /// Adds a record. Returns whether it was read before, in this era of the store or an earlier one.
    pub fn insert(&mut self, record: &Record) -> bool {
        let mut hasher = DefaultHasher::new();
        (record.position.offset, &record.key, &record.value).hash(&mut hasher);
        let hash = hasher.finish();
        if !self.hashes.insert(hash) {
            return true;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > MAX_RECORDS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.hashes.remove(&oldest);
        }
        false
    }
}
