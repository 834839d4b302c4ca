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
    /// Encodes the update, split into datagrams of at most [`MAX_BYTES`]. Changes with the same
    /// offset are never split, since a receiver of one part could not tell that others are missing.
    pub fn datagrams(self) -> Vec<Vec<u8>> {
        let mut bytes = vec![FORMAT];
        bytes.extend(encode_to_vec(&self, standard()).unwrap_or_default());
        let Some(split) = self.split_index().filter(|_| bytes.len() > MAX_BYTES) else {
            return vec![bytes];
        };
        let mut left = self.changes;
        let right = left.split_off(split);
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

    /// Returns the index nearest to the middle at which the changes can be split.
    fn split_index(&self) -> Option<usize> {
        let middle = self.changes.len() / 2;
        let splits = (1..self.changes.len())
            .filter(|index| self.changes[index - 1].0 != self.changes[*index].0);
        splits.min_by_key(|index| index.abs_diff(middle))
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
