//! Datagram with changes of targets, sent to the other instances by one that reads the store.

use std::net::SocketAddr;

use balance::EntryChange;
use bincode::{config::standard, serde::encode_to_vec};
use serde::{Deserialize, Serialize};

use crate::{report::MAX_BYTES, wire_format};

/// First byte of a datagram, different from those of other datagrams. It stays, like
/// the layout (`wire_format.rs`).
const FORMAT: u8 = 8;
/// Largest encoded size of an address to forward a datagram to, in bytes.
const ADDR_BYTES: usize = 10;

/// All changes of targets between two offsets of the store's records. The order and the types of
/// the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesUpdate {
    /// Time since the sender knew that there are no records after `end`, in milliseconds. It grows
    /// while the datagram is held by an instance, but not on the network.
    pub age_ms: u64,
    /// Instances that the receiver forwards the datagram to.
    pub forward_to: Vec<SocketAddr>,
    /// Era of the store in which the offsets were given out.
    pub era: u64,
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
    /// Splits the update into parts that fit into datagrams of at most [`MAX_BYTES`], each to be
    /// forwarded to up to `others` instances. Changes with the same offset are never split, since a
    /// receiver of one part could not tell that others are missing.
    pub fn split(self, others: usize) -> Vec<Self> {
        let too_large = self.encode().len() + others * ADDR_BYTES > MAX_BYTES;
        let Some(split) = self.split_index().filter(|_| too_large) else {
            return vec![self];
        };
        let mut left = self;
        let changes = left.changes.split_off(split);
        let right = Self {
            from: changes[0].0,
            forward_to: Vec::new(),
            changes,
            ..left
        };
        left.next = right.from;
        let mut parts = left.split(others);
        parts.extend(right.split(others));
        parts
    }

    /// Returns the index nearest to the middle at which the changes can be split.
    fn split_index(&self) -> Option<usize> {
        let middle = self.changes.len() / 2;
        let splits = (1..self.changes.len())
            .filter(|index| self.changes[index - 1].0 != self.changes[*index].0);
        splits.min_by_key(|index| index.abs_diff(middle))
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(encode_to_vec(self, standard()).unwrap_or_default());
        bytes
    }

    /// Decodes a datagram. Returns `None` if it is not a valid update.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let update: Self = wire_format::decode(rest)?;
        let is_ordered = update.from <= update.next && update.next <= update.end;
        is_ordered.then_some(update)
    }
}

#[cfg(test)]
mod tests;
