//! Datagram by which an instance reports its presence and its recent data to the others.

use std::net::SocketAddr;

use balance::{BudgetUsage, Evidence, Position, Presence, Stage};
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use model::{InstanceId, ServiceName, TargetId, Zone};
use serde::{Deserialize, Serialize};

use crate::limit_report::LimitReport;

/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_BYTES: usize = 1_400;
/// First byte of a datagram. It changes whenever the layout does.
const FORMAT: u8 = 11;

/// Report of an instance to its peers. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub name: InstanceId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address that callers connect to.
    pub caller_addr: SocketAddr,
    /// Phase of the instance. 0: starting, 1: ready, 2: leaving.
    pub presence: u8,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Position of the next record of the operator that it reads.
    pub operator_next: Position,
    /// Version of its configuration in force; 0 if it has none.
    pub config_version: u64,
    /// Era of the store in which its entries of targets were read.
    pub entries_era: u64,
    /// Time for which its entries of targets have been up to date without an outage of the store,
    /// in milliseconds.
    pub fresh_ms: u64,
    /// Peer addresses of some live instances that it knows.
    pub known_addrs: Vec<SocketAddr>,
    /// Number of good and of bad outcomes since its last heartbeat, for targets with bad ones.
    pub outcomes: Vec<(TargetId, u32, u32)>,
    /// News of the limits that targets state.
    pub limits: Vec<LimitReport>,
    /// Its requests and extra attempts by service, in the window of the retry budget.
    pub budget_usage: Vec<(ServiceName, BudgetUsage)>,
    /// Its reports on rollouts.
    pub rollouts: Vec<RolloutReport>,
}

/// Report of an instance on one rollout. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service of the rollout.
    pub service: ServiceName,
    /// Position of the record that ordered the rollout.
    pub order: Position,
    /// Stage that the sender knows.
    pub stage: u8,
    /// Whether the sender knows that the rollout was stopped.
    pub stopped: bool,
    /// Verdict that the sender knows to be recorded in the store.
    pub verdict: balance::Verdict,
    /// Evidence that the sender itself has collected.
    pub evidence: Evidence,
}

impl Heartbeat {
    /// Encodes the datagram. Removes outcomes while it is larger than [`MAX_BYTES`].
    pub fn encode(&mut self) -> Vec<u8> {
        loop {
            let mut bytes = vec![FORMAT];
            bytes.extend(encode_to_vec(&*self, standard()).unwrap_or_default());
            if bytes.len() <= MAX_BYTES || self.outcomes.is_empty() {
                return bytes;
            }
            let half = self.outcomes.len() / 2;
            self.outcomes.truncate(half);
        }
    }

    /// Decodes a datagram. Returns `None` if it is not a heartbeat of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let (heartbeat, used) = decode_from_slice::<Self, _>(rest, standard()).ok()?;
        (used == rest.len()).then_some(heartbeat)
    }

    /// Returns the presence of the sender.
    pub fn presence(&self) -> Presence {
        match self.presence {
            1 => Presence::Ready,
            2 => Presence::Leaving,
            _ => Presence::Starting,
        }
    }

    /// Returns the stage of a report, limited to the last stage.
    pub fn stage(report: &RolloutReport) -> Stage {
        Stage(report.stage.min(Stage::LAST.0))
    }
}

#[cfg(test)]
mod tests;
