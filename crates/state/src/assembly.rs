//! Puts snapshots together from their parts. Parts may come twice, interleaved with those of other
//! snapshots, or not at all. Not part of the shared state.

use std::collections::BTreeMap;

use model::Code;
use sha2::{Digest, Sha256};

use crate::snapshot::hex;

/// Snapshots that may be incomplete at a time.
const MAX_OPEN: usize = 4;
/// Parts of one snapshot: 16 MiB, above the largest state that the bounds of the fold permit.
pub(crate) const MAX_PARTS: u32 = 256;
/// Bytes held for incomplete snapshots.
const MAX_BYTES: usize = 12 * 1024 * 1024;

/// Part of a snapshot as a record holds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part<'a> {
    pub(crate) covers: u64,
    pub(crate) number: u32,
    pub(crate) parts: u32,
    pub(crate) sha256: &'a str,
    pub(crate) data: &'a str,
}

#[derive(Clone, Debug, Default)]
struct Open {
    parts: BTreeMap<u32, String>,
    touched: u64,
}

/// Incomplete snapshots by what they cover, their checksum and their number of parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    open: BTreeMap<(u64, String, u32), Open>,
    clock: u64,
}

impl Assembly {
    /// Takes one part. `Ok(Some(json))` completes a snapshot.
    pub(crate) fn add(&mut self, part: Part<'_>) -> Result<Option<String>, (Code, &'static str)> {
        if part.number >= part.parts || part.parts > MAX_PARTS || part.sha256.len() != 64 {
            return Err((Code::SnapshotIncomplete, "impossible part"));
        }
        self.clock += 1;
        let key = (part.covers, part.sha256.to_owned(), part.parts);
        let open = self.open.entry(key.clone()).or_default();
        open.touched = self.clock;
        open.parts.insert(part.number, part.data.to_owned());
        if open.parts.len() < part.parts as usize {
            self.bound();
            return Ok(None);
        }
        let json: String = self
            .open
            .remove(&key)
            .into_iter()
            .flat_map(|o| o.parts.into_values())
            .collect();
        if hex(&Sha256::digest(json.as_bytes())) != part.sha256 {
            return Err((
                Code::SnapshotIncomplete,
                "checksum of the parts does not match",
            ));
        }
        Ok(Some(json))
    }

    /// Forgets incomplete snapshots that cover no more than `covers`.
    pub(crate) fn drop_until(&mut self, covers: u64) {
        self.open.retain(|(c, _, _), _| *c > covers);
    }

    /// Bytes held.
    pub(crate) fn bytes(&self) -> usize {
        let parts = self.open.values().flat_map(|o| o.parts.values());
        parts.map(String::len).sum()
    }

    fn bound(&mut self) {
        while self.open.len() > MAX_OPEN || (self.open.len() > 1 && self.bytes() > MAX_BYTES) {
            let oldest = self.open.iter().min_by_key(|(_, o)| o.touched);
            let Some(key) = oldest.map(|(k, _)| k.clone()) else {
                return;
            };
            self.open.remove(&key);
        }
    }
}
