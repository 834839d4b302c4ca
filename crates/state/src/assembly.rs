//! Assembles snapshots from their parts. Parts may be repeated, lost, or interleaved with those of
//! other snapshots. Incomplete snapshots are not part of the shared state.

use std::collections::BTreeMap;

use model::Code;
use sha2::{Digest, Sha256};

use crate::snapshot::hex;

/// Largest number of incomplete snapshots.
const MAX_PARTIAL: usize = 4;
/// Largest number of parts of one snapshot. Together they hold more than the largest state that the
/// bounds of the fold allow.
pub(crate) const MAX_PARTS: u32 = 256;
/// Bytes held for incomplete snapshots above which the least recently used one is dropped. A single
/// one may be larger.
const MAX_BYTES: usize = 12 * 1024 * 1024;

/// Part of a snapshot as a record contains it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotPart<'a> {
    /// Offset of the last record that the snapshot covers.
    pub(crate) covers: u64,
    /// Number of this part, counted from 0.
    pub(crate) number: u32,
    /// Number of parts of the snapshot.
    pub(crate) parts: u32,
    /// Checksum of the whole snapshot in hexadecimal digits.
    pub(crate) sha256: &'a str,
    pub(crate) data: &'a str,
}

#[derive(Clone, Debug, Default)]
struct PartialSnapshot {
    /// Parts that have arrived, by number.
    parts: BTreeMap<u32, String>,
    /// Value of [`Assembly::uses`] when the last part arrived.
    last_used: u64,
}

/// Incomplete snapshots, by the offset that they cover, their checksum and their number of parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    partial: BTreeMap<(u64, String, u32), PartialSnapshot>,
    /// Number of parts added so far.
    uses: u64,
}

impl Assembly {
    /// Adds a part. Returns the JSON of the snapshot if the part completes it.
    pub(crate) fn add(
        &mut self,
        part: SnapshotPart<'_>,
    ) -> Result<Option<String>, (Code, &'static str)> {
        if part.number >= part.parts || part.parts > MAX_PARTS || part.sha256.len() != 64 {
            return Err((Code::SnapshotIncomplete, "impossible part"));
        }
        self.uses += 1;
        let key = (part.covers, part.sha256.to_owned(), part.parts);
        let partial = self.partial.entry(key.clone()).or_default();
        partial.last_used = self.uses;
        partial.parts.insert(part.number, part.data.to_owned());
        if partial.parts.len() < part.parts as usize {
            self.evict();
            return Ok(None);
        }
        let json: String = self
            .partial
            .remove(&key)
            .into_iter()
            .flat_map(|p| p.parts.into_values())
            .collect();
        if hex(&Sha256::digest(json.as_bytes())) != part.sha256 {
            return Err((
                Code::SnapshotIncomplete,
                "checksum of the parts does not match",
            ));
        }
        Ok(Some(json))
    }

    /// Drops incomplete snapshots that cover no record after `covers`.
    pub(crate) fn drop_until(&mut self, covers: u64) {
        self.partial.retain(|(c, _, _), _| *c > covers);
    }

    /// Returns the number of bytes held for incomplete snapshots.
    pub(crate) fn bytes(&self) -> usize {
        let parts = self.partial.values().flat_map(|p| p.parts.values());
        parts.map(String::len).sum()
    }

    /// Drops the least recently used snapshots until the bounds are met.
    fn evict(&mut self) {
        while self.partial.len() > MAX_PARTIAL
            || (self.partial.len() > 1 && self.bytes() > MAX_BYTES)
        {
            let oldest = self.partial.iter().min_by_key(|(_, p)| p.last_used);
            let Some(key) = oldest.map(|(k, _)| k.clone()) else {
                return;
            };
            self.partial.remove(&key);
        }
    }
}
