//! The datagram by which an instance that reads the entries of targets tells the others what changed.

use balance::TargetEntry;
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use model::TargetId;
use serde::{Deserialize, Serialize};

use crate::beat::MAX_BYTES;

/// First byte of a datagram, different from that of beats.
const FORMAT: u8 = 2;

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
pub struct EntriesPart {
    /// First offset covered.
    pub from: u64,
    /// Offset after the last one covered.
    pub next: u64,
    /// Changes with their offsets; records that changed nothing are left out.
    pub changes: Vec<(u64, EntryChange)>,
}

impl EntriesPart {
    /// Datagrams that tell of the changes from `from` to `next`, none larger than allowed.
    pub fn datagrams(from: u64, next: u64, changes: Vec<(u64, EntryChange)>) -> Vec<Vec<u8>> {
        let part = Self {
            from,
            next,
            changes,
        };
        let mut bytes = vec![FORMAT];
        bytes.extend(encode_to_vec(&part, standard()).unwrap_or_default());
        if bytes.len() <= MAX_BYTES || part.changes.len() < 2 {
            return vec![bytes];
        }
        let mut left = part.changes;
        let right = left.split_off(left.len() / 2);
        let middle = right[0].0;
        let mut datagrams = Self::datagrams(from, middle, left);
        datagrams.extend(Self::datagrams(middle, next, right));
        datagrams
    }

    /// Decodes a datagram; `None` if it is none of this kind.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let (part, used) = decode_from_slice::<Self, _>(rest, standard()).ok()?;
        (used == rest.len() && part.from <= part.next).then_some(part)
    }
}

#[cfg(test)]
mod tests;
