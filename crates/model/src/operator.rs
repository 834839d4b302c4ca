//! Operators of the administration API.

use serde::{Deserialize, Serialize};

use crate::{OperatorName, Tenant};

/// What an operator may do within its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Reads configuration, status and audit trail.
    Read,
    /// Also publishes configuration and moves.
    Publish,
    /// Also takes availability zones out and back; needs no tenant.
    Platform,
}

/// One operator. The token itself is never stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name shown in the audit trail.
    pub name: OperatorName,
    /// Tenant that the operator belongs to; `None` only for [`Role::Platform`].
    pub tenant: Option<Tenant>,
    /// What the operator may do.
    pub role: Role,
    /// SHA-256 of the bearer token, lower-case hex.
    pub token_sha256: String,
}
