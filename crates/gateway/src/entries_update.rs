//! Datagram with changes of targets, sent to the other instances by one that reads the store.

use balance::EntryChange;
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use serde::{Deserialize, Serialize};

use crate::heartbeat::MAX_BYTES;

/// First byte of a datagram, different from that of heartbeats.
const FORMAT: u8 = 4;

/// All changes of targets between two offsets of the store's records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesUpdate {
    /// First offset covered.
    pub from: u64,
    /// Offset after the last one covered.
    pub next: u64,
    /// Offset after the last record that the reader has read. It is larger than `next` in all
    /// datagrams of a split update except the last one.
    pub end: u64,
    /// Changes with their offsets; records that changed nothing are left out.
    pub changes: Vec<(u64, EntryChange)>,
}

impl EntriesUpdate {
    /// Encodes the update, split into datagrams of at most [`MAX_BYTES`]. A single change is never
    /// split.
    pub fn datagrams(self) -> Vec<Vec<u8>> {
        let mut bytes = vec![FORMAT];
        bytes.extend(encode_to_vec(&self, standard()).unwrap_or_default());
        if bytes.len() <= MAX_BYTES || self.changes.len() < 2 {
            return vec![bytes];
        }
        let mut left = self.changes;
        let right = left.split_off(left.len() / 2);
        let middle = right[0].0;
        let (left, right) = (
            Self {
                from: self.from,
                next: middle,
                end: self.end,
                changes: left,
            },
            Self {
                from: middle,
                next: self.next,
                end: self.end,
                changes: right,
            },
        );
        let mut datagrams = left.datagrams();
        datagrams.extend(right.datagrams());
        datagrams
    }

    /// Decodes a datagram. Returns `None` if it is not a valid update.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let (update, used) = decode_from_slice::<Self, _>(rest, standard()).ok()?;
        let is_ordered = update.from <= update.next && update.next <= update.end;
        (used == rest.len() && is_ordered).then_some(update)
    }
}

#[cfg(test)]
mod tests;
