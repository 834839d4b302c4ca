//! The datagram by which an instance that reads the entries of targets tells the others what changed.

use balance::TargetEntry;
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use model::TargetId;
use serde::{Deserialize, Serialize};

use crate::heartbeat::MAX_BYTES;

/// First byte of a datagram, different from that of beats.
const FORMAT: u8 = 4;

/// One change of the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryChange {
    /// A target says something new of itself.
    Put(TargetEntry),
    /// The entry of a target is gone.
    Gone(TargetId),
}

/// All changes between two offsets of the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesUpdate {
    /// First offset covered.
    pub from: u64,
    /// Offset after the last one covered.
    pub next: u64,
    /// Offset after the last record that the reader saw. It is beyond `next` in all but the last datagram
    /// of a large part.
    pub end: u64,
    /// Changes with their offsets; records that changed nothing are left out.
    pub changes: Vec<(u64, EntryChange)>,
}

impl EntriesUpdate {
    /// This part and the one that follows it.
    pub fn join(mut self, next: &Self) -> Self {
        if self.next != next.from {
            return next.clone();
        }
        self.next = next.next;
        self.end = next.end;
        self.changes.extend_from_slice(&next.changes);
        self
    }

    /// Datagrams that tell of the part, none larger than allowed.
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

    /// Decodes a datagram; `None` if it is none of this kind.
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
