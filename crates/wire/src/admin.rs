//! Bodies of the administration API.

use std::collections::BTreeMap;

use model::{Code, InstanceId, OperatorName, ServiceName, Tenant, Version, Wall, Zone};
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// Body of `POST /v1/config/{tenant}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Proposal id chosen by the operator; repeats with the same id are harmless.
    pub id: String,
    /// Revision that the document was made against.
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
    /// Whether the zone is to receive no new work.
    pub out: bool,
}

/// Answer of `GET /v1/config/{tenant}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Revision of the document in force, 0 if there is none.
    pub revision: u64,
    /// The TOML text, empty if there is none.
    pub text: String,
}

/// Answer of `GET /v1/health` from an instance that has a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Instance that answers.
    pub instance: InstanceId,
    /// Last log offset in force there.
    pub offset: u64,
}

/// Answer to a proposal, at once or asked for later by its id.
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

/// Body of every error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Result code.
    pub code: Code,
    /// What is wrong, and what would be accepted.
    pub detail: String,
}

/// One version move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Move id.
    pub plan: String,
    /// Service.
    pub service: ServiceName,
    /// Version before the move.
    pub from: Version,
    /// Version moved to.
    pub to: Version,
    /// Deadline.
    pub deadline: Wall,
    /// Share of calls on the new version, in basis points.
    pub share: u16,
    /// Outcome, once the log holds it.
    pub verdict: Option<Verdict>,
    /// Reason of the outcome.
    pub reason: String,
    /// Author's time of the deciding record.
    pub decided: Option<Wall>,
}

/// Answer of `GET /v1/moves`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovesAnswer {
    /// Moves that the operator may see.
    pub moves: Vec<MoveStatus>,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance that answers.
    pub instance: InstanceId,
    /// Last log offset in force there.
    pub offset: u64,
    /// Offsets in force at other instances, as last heard.
    pub peers: BTreeMap<InstanceId, u64>,
    /// Revision of each tenant's document that the operator may see.
    pub revisions: BTreeMap<Tenant, u64>,
    /// Zones that were ever changed: whether each is out, and the offset of its last change.
    pub zones: BTreeMap<Zone, (bool, u64)>,
    /// Moves that the operator may see.
    pub moves: Vec<MoveStatus>,
    /// Whether the log service answered within the last 3 s.
    pub log_up: bool,
}

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Proposal id.
    pub id: String,
    /// Who.
    pub author: OperatorName,
    /// Tenant concerned; `None` for zones.
    pub tenant: Option<Tenant>,
    /// What.
    pub what: String,
    /// Revision that it was made against.
    pub base: u64,
    /// Outcome.
    pub code: Code,
    /// Author's time.
    pub at: Wall,
}

/// Answer of `GET /v1/audit`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Entries in offset order.
    pub entries: Vec<AuditEntry>,
    /// Value of `from` that continues the trail; `None` at its end.
    #[serde(default)]
    pub next: Option<u64>,
}
