//! The datagram by which instances tell each other that they live and what they have seen.

use std::net::SocketAddr;

use balance::{BudgetUsage, Evidence, Presence, Stage};
use bincode::{
    config::standard,
    serde::{decode_from_slice, encode_to_vec},
};
use model::{InstanceId, ServiceName, TargetId, Zone};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_BYTES: usize = 1_400;
/// First byte of a datagram. Another release with another layout takes another one.
const FORMAT: u8 = 3;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name.
    pub name: InstanceId,
    /// Number of its process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// 0: starting, 1: ready, 2: leaving.
    pub presence: u8,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
    /// Where its reading of the operator's records goes on.
    pub operator_next: u64,
    /// Time for which its entries of targets were never out of date for long, in milliseconds.
    pub fresh_ms: u64,
    /// Peer addresses of some live instances that it knows.
    pub known_addrs: Vec<SocketAddr>,
    /// Outcomes since its last beat, of targets that failed: good and bad ones.
    pub outcomes: Vec<(TargetId, u32, u32)>,
    /// Its requests and second sends by service, in the window of the budget.
    pub used: Vec<(ServiceName, BudgetUsage)>,
    /// What it knows of rollouts.
    pub rollouts: Vec<RolloutReport>,
}

/// What an instance knows of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Stage.
    pub stage: u8,
    /// Whether it was stopped.
    pub stopped: bool,
    /// Verdict, if the sender knows that it was recorded.
    pub verdict: balance::Verdict,
    /// What the sender itself has seen.
    pub evidence: Evidence,
}

impl Heartbeat {
    /// The datagram; outcomes that do not fit are left out.
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

    /// Decodes a datagram; `None` if it is none of this release.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        let (heartbeat, used) = decode_from_slice::<Self, _>(rest, standard()).ok()?;
        (used == rest.len()).then_some(heartbeat)
    }

    /// Whether the sender takes callers.
    pub fn presence(&self) -> Presence {
        match self.presence {
            1 => Presence::Ready,
            2 => Presence::Leaving,
            _ => Presence::Starting,
        }
    }

    /// Stage of a report, within the known ones.
    pub fn stage(report: &RolloutReport) -> Stage {
        Stage(report.stage.min(Stage::LAST.0))
    }
}

#[cfg(test)]
mod tests;
