//! Datagram by which a collector tells the others what it has from reports. An instance that receives
//! one may have to forward it to others.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use balance::{BudgetUsage, CrashReport, LiveView, Member, Position, ReportedOutcomes};
use bincode::{config::standard, serde::encode_to_vec};
use model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{
    limit_report::LimitReport,
    notices::LeavingReport,
    report::{MAX_BYTES, RolloutReport},
    returns::ServiceClaims,
    wire_format,
};

/// First byte of a datagram. It stays, like the layout (`wire_format.rs`).
const FORMAT: u8 = 24;
/// Encoded size of an address to forward a datagram to, in bytes.
const ADDR_BYTES: usize = 6;
/// Size of the fields before the addresses, in bytes.
const HEAD_BYTES: usize = 4;

/// Digest of reports. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Description of the sender.
    pub member: Member,
    /// Which instances the sender has reports from; `None` if it is no collector, or in the later
    /// parts of a split digest.
    pub view: Option<LiveView>,
    /// Position of the next record of the operator that the sender reads.
    pub operator_next: Position,
    /// Time for which the operator may have written records that the sender does not know, in
    /// milliseconds.
    pub operator_age_ms: u64,
    /// Version of its configuration in force; 0 if it has none.
    pub config_version: u64,
    /// Era of the store in which its entries of targets were read.
    pub entries_era: u64,
    /// Longest time for which the entries of an instance with that era have been up to date without an
    /// outage of the store, in milliseconds.
    pub fresh_ms: u64,
    /// Requests and extra attempts by service of all instances, in the window of the retry budget,
    /// and the number of instances.
    pub budget_usage: Option<(Vec<(ServiceName, BudgetUsage)>, u32)>,
    /// Claims of all instances, as in [`Report`](crate::report::Report).
    pub claims: ServiceClaims,
    /// State of the rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Changed descriptions of instances.
    pub members: Vec<Member>,
    /// Outcomes of targets by report.
    pub outcomes: Vec<ReportedOutcomes>,
    /// Targets that have said that they leave.
    pub leaving: Vec<LeavingReport>,
    /// News of the limits that targets state.
    pub limits: Vec<LimitReport>,
    /// Requests near crashes of targets.
    pub crashes: Vec<CrashReport>,
}

impl Digest {
    /// Returns a digest of `sender` without news.
    pub fn new(sender: Member) -> Self {
        Self {
            member: sender,
            view: None,
            operator_next: Position::default(),
            operator_age_ms: u64::MAX,
            config_version: 0,
            entries_era: 0,
            fresh_ms: 0,
            budget_usage: None,
            claims: Vec::new(),
            rollouts: Vec::new(),
            members: Vec::new(),
            outcomes: Vec::new(),
            leaving: Vec::new(),
            limits: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Encodes the digest in parts that fit into datagrams of at most [`MAX_BYTES`], each with up to
    /// `forwards` addresses to forward it to. Everything that stands once is in the first part.
    pub fn encode(mut self, forwards: usize) -> Vec<Vec<u8>> {
        let limit = MAX_BYTES.saturating_sub(HEAD_BYTES + forwards * ADDR_BYTES);
        let bytes = encode_to_vec(&self, standard()).unwrap_or_default();
        if bytes.len() <= limit {
            return vec![bytes];
        }
        let mut rest = Self {
            members: halve(&mut self.members),
            ..Self::new(self.member.clone())
        };
        if rest.members.is_empty() {
            rest.outcomes = halve(&mut self.outcomes);
        }
        if rest.members.is_empty() && rest.outcomes.is_empty() {
            rest.leaving = halve(&mut self.leaving);
            rest.limits = halve(&mut self.limits);
            rest.crashes = halve(&mut self.crashes);
            rest.claims = halve(&mut self.claims);
        }
        let has_lists = !rest.members.is_empty() || !rest.outcomes.is_empty();
        let has_news = !rest.leaving.is_empty()
            || !rest.limits.is_empty()
            || !rest.crashes.is_empty()
            || !rest.claims.is_empty();
        if !has_lists && !has_news {
            // What stands once does not fit; IP divides the datagram.
            return vec![bytes];
        }
        (rest.operator_next, rest.config_version) = (self.operator_next, self.config_version);
        rest.operator_age_ms = self.operator_age_ms;
        (rest.entries_era, rest.fresh_ms) = (self.entries_era, self.fresh_ms);
        let mut parts = self.encode(forwards);
        parts.extend(rest.encode(forwards));
        parts
    }

    /// Decodes what [`Self::encode`] returns. Returns `None` if it is not a digest of this layout.
    fn decode(bytes: &[u8]) -> Option<Self> {
        wire_format::decode(bytes)
    }
}

/// Removes the second half of a list and returns it; nothing of a list of one.
fn halve<T>(list: &mut Vec<T>) -> Vec<T> {
    list.split_off(list.len().div_ceil(2))
}

/// Returns the datagram with an encoded digest that was made `held_ms` ago, to be forwarded to
/// `forward_to`.
pub fn envelope(digest: &[u8], held_ms: u64, forward_to: &[SocketAddr]) -> Vec<u8> {
    let addrs = forward_to.iter().filter_map(|addr| match addr {
        SocketAddr::V4(addr) => Some(addr),
        SocketAddr::V6(_) => None,
    });
    let addrs: Vec<&SocketAddrV4> = addrs.take(usize::from(u8::MAX)).collect();
    let mut bytes = Vec::with_capacity(HEAD_BYTES + addrs.len() * ADDR_BYTES + digest.len());
    bytes.push(FORMAT);
    bytes.push(u8::try_from(addrs.len()).unwrap_or(u8::MAX));
    let held_ms = u16::try_from(held_ms).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&held_ms.to_be_bytes());
    for addr in addrs {
        bytes.extend_from_slice(&addr.ip().octets());
        bytes.extend_from_slice(&addr.port().to_be_bytes());
    }
    bytes.extend_from_slice(digest);
    bytes
}

/// A received datagram with a digest.
#[derive(Debug)]
pub struct ReceivedDigest {
    /// The digest.
    pub digest: Digest,
    /// The digest as it was encoded, to be forwarded.
    pub encoded: Vec<u8>,
    /// Time between the making of the digest and the latest send, in milliseconds.
    pub held_ms: u64,
    /// Instances that it is to be forwarded to.
    pub forward_to: Vec<SocketAddr>,
}

impl ReceivedDigest {
    /// Decodes a datagram. Returns `None` if it is not a digest of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let [FORMAT, count, high, low, rest @ ..] = bytes else {
            return None;
        };
        let (addrs, digest) = rest.split_at_checked(usize::from(*count) * ADDR_BYTES)?;
        let (addrs, _) = addrs.as_chunks::<ADDR_BYTES>();
        let forward_to: Vec<SocketAddr> = addrs
            .iter()
            .map(|[a, b, c, d, high, low]| {
                let port = u16::from_be_bytes([*high, *low]);
                SocketAddr::from((Ipv4Addr::new(*a, *b, *c, *d), port))
            })
            .collect();
        let encoded = if forward_to.is_empty() {
            Vec::new()
        } else {
            digest.to_vec()
        };
        Some(Self {
            digest: Digest::decode(digest)?,
            encoded,
            held_ms: u16::from_be_bytes([*high, *low]).into(),
            forward_to,
        })
    }
}

#[cfg(test)]
mod tests;
