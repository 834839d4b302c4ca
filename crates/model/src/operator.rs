//! Operators of the administration API.

use serde::{Deserialize, Serialize};

use crate::{OperatorName, Tenant};

/// What an operator may do within its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read configuration, status and audit trail.
    Read,
    /// May also publish configuration and moves.
    Publish,
    /// May also take availability zones out and put them back. Belongs to no tenant.
    Platform,
}

/// An operator of the administration API. Only the digest of the token is stored.
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
