//! Bodies of the administration API.

use std::collections::BTreeMap;

use model::{Code, InstanceId, OperatorName, ServiceName, Tenant, Version, Wall, Zone};
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// Body of `POST /v1/config/{tenant}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Proposal id chosen by the operator. A repeat with the same id has no further effect.
    pub id: String,
    /// Revision on which the document is based.
    pub base: u64,
    /// The TOML text.
    pub text: String,
}

/// Body of `POST /v1/zones/{zone}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRequest {
    /// Proposal id chosen by the operator.
    pub id: String,
    /// Offset of the zone's last accepted change.
    pub base: u64,
    /// Whether the zone must receive no new calls.
    pub out: bool,
}

/// Response body of `GET /v1/config/{tenant}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Revision of the document in force, 0 if there is none.
    pub revision: u64,
    /// The TOML text, empty if there is none.
    pub text: String,
}

/// Response body of `GET /v1/health` from an instance that has a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Instance that responds.
    pub instance: InstanceId,
    /// Last log offset that the instance has applied.
    pub offset: u64,
}

/// Response to a proposal, sent when it is made or when its id is queried later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalAnswer {
    /// Proposal id.
    pub id: String,
    /// One of the 6xxx codes.
    pub code: Code,
    /// Offset of the record, if known.
    pub offset: Option<u64>,
    /// Reason or further detail.
    pub detail: String,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Result code.
    pub code: Code,
    /// The error, and what would be accepted.
    pub detail: String,
}

/// State of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Move id.
    pub plan: String,
    /// Service that moves.
    pub service: ServiceName,
    /// Version before the move.
    pub from: Version,
    /// Version after the move.
    pub to: Version,
    /// Time by which the move must be done or undone.
    pub deadline: Wall,
    /// Share of calls that run on the new version, in basis points.
    pub share: u16,
    /// Verdict, once the log holds it.
    pub verdict: Option<Verdict>,
    /// Reason of the verdict.
    pub reason: String,
    /// Time at which the verdict was recorded, by the clock of its author.
    pub decided: Option<Wall>,
}

/// Response body of `GET /v1/moves`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovesAnswer {
    /// Moves that the operator may see.
    pub moves: Vec<MoveStatus>,
}

/// Response body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance that responds.
    pub instance: InstanceId,
    /// Last log offset that the instance has applied.
    pub offset: u64,
    /// Last log offset that each other instance reported as applied.
    pub peers: BTreeMap<InstanceId, u64>,
    /// Revision of each tenant's document that the operator may see.
    pub revisions: BTreeMap<Tenant, u64>,
    /// Zones that were ever changed: whether each is out, and the offset of its last change.
    pub zones: BTreeMap<Zone, (bool, u64)>,
    /// Moves that the operator may see.
    pub moves: Vec<MoveStatus>,
    /// Whether the log service responded within the last 3 s.
    pub log_up: bool,
}

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Proposal id.
    pub id: String,
    /// Operator or instance that made the change.
    pub author: OperatorName,
    /// Tenant concerned; `None` for zones.
    pub tenant: Option<Tenant>,
    /// Description of the change.
    pub what: String,
    /// Revision on which the change is based.
    pub base: u64,
    /// Result code of the change.
    pub code: Code,
    /// Time of the change by the clock of its author.
    pub at: Wall,
}

/// Response body of `GET /v1/audit`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Entries in offset order.
    pub entries: Vec<AuditEntry>,
    /// Value of `from` that reads the next page; `None` on the last page.
    #[serde(default)]
    pub next: Option<u64>,
}
