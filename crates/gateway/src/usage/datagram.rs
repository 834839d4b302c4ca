//! Datagram by which an instance tells the collectors how many requests targets began.

use balance::usage::WindowTally;
use bincode::{config::standard, serde::encode_to_vec};
use model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::wire_format;

/// First byte of a datagram, different from those of other datagrams. It stays, like the
/// layout (`wire_format.rs`).
const FORMAT: u8 = 64;
/// Most totals in a datagram. Each takes up to 10 bytes, so that it stays below 1,400 bytes.
const MAX_TOTALS: usize = 110;

/// Totals of a process. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDatagram {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Number of its process.
    pub incarnation: u64,
    /// True time at the sender, in microseconds since the start of 1970.
    pub true_us: u64,
    /// Totals so far, by window and hash of the workspace's name.
    pub windows: Vec<WindowTally>,
}

impl UsageDatagram {
    /// Splits the totals into parts that fit into a datagram each.
    pub fn split(self) -> Vec<Self> {
        let totals = self.windows.iter();
        let totals: Vec<(u64, (u32, u32))> = totals
            .flat_map(|(window, tally)| tally.iter().map(|total| (*window, *total)))
            .collect();
        let parts = totals.chunks(MAX_TOTALS).map(|part| Self {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            true_us: self.true_us,
            windows: part
                .chunk_by(|a, b| a.0 == b.0)
                .map(|same| (same[0].0, same.iter().map(|(_, total)| *total).collect()))
                .collect(),
        });
        parts.collect()
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(encode_to_vec(self, standard()).unwrap_or_default());
        bytes
    }

    /// Decodes a datagram. Returns `None` if it is none of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let datagram: Self = wire_format::decode(rest)?;
        datagram.instance.is_valid().then_some(datagram)
    }
}

#[cfg(test)]
mod tests;
