//! Datagram by which an instance tells the collectors of its state and its recent data.

use balance::{BudgetUsage, CrashReport, Evidence, Member, Position, ReportedOutcomes, Stage};
use bincode::{config::standard, serde::encode_to_vec};
use model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{
    limit_report::LimitReport, notices::LeavingReport, returns::ServiceClaims, wire_format,
};

/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_BYTES: usize = 1_400;
/// First byte of a datagram. It stays, like the layout (`wire_format.rs`).
const FORMAT: u8 = 25;

/// Report of an instance to the collectors. The order and the types of the fields are the wire
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Description of the instance.
    pub member: Member,
    /// Position of the next record of the operator that it reads.
    pub operator_next: Position,
    /// Time for which the operator may have written records that it does not know, in milliseconds.
    pub operator_age_ms: u64,
    /// Version of its configuration in force; 0 if it has none.
    pub config_version: u64,
    /// Era of the store in which its entries of targets were read.
    pub entries_era: u64,
    /// Time for which its entries of targets have been up to date without an outage of the store,
    /// in milliseconds.
    pub fresh_ms: u64,
    /// Outcomes since its last report, for targets with bad ones.
    pub outcomes: ReportedOutcomes,
    /// Targets that have said that they leave.
    pub leaving: Vec<LeavingReport>,
    /// News of the limits that targets state.
    pub limits: Vec<LimitReport>,
    /// Its requests and extra attempts by service, in the window of the retry budget.
    pub budget_usage: Vec<(ServiceName, BudgetUsage)>,
    /// Work of the callers that it has told to return, in milliseconds by slot of 100 ms, from the
    /// current slot on.
    pub claims: ServiceClaims,
    /// Its reports on rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Requests near crashes of targets.
    pub crashes: Vec<CrashReport>,
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
    /// Share of the requests that go to the new version in this stage, in percent.
    pub share: u32,
    /// Whether the sender knows that the rollout was stopped.
    pub stopped: bool,
    /// Verdict that the sender knows to be recorded in the store.
    pub verdict: balance::Verdict,
    /// Evidence that the sender itself has collected. Digests have none.
    pub evidence: Option<Evidence>,
}

impl RolloutReport {
    /// Returns the stage, limited to the last one, and its share in percent.
    pub fn stage(&self) -> (Stage, u32) {
        (Stage(self.stage.min(Stage::LAST.0)), self.share.min(100))
    }
}

impl Report {
    /// Encodes the datagram. Removes outcomes, then claims, while it is larger than [`MAX_BYTES`].
    pub fn encode(&mut self) -> Vec<u8> {
        loop {
            let mut bytes = vec![FORMAT];
            bytes.extend(encode_to_vec(&*self, standard()).unwrap_or_default());
            let outcomes = &mut self.outcomes.outcomes;
            if bytes.len() <= MAX_BYTES || (outcomes.is_empty() && self.claims.is_empty()) {
                return bytes;
            }
            if outcomes.is_empty() {
                self.claims.truncate(self.claims.len() / 2);
            }
            outcomes.truncate(outcomes.len() / 2);
        }
    }

    /// Decodes a datagram. Returns `None` if it is not a report of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        wire_format::decode(rest)
    }
}

#[cfg(test)]
mod tests;
