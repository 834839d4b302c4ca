//! Operators of the administration API.

use serde::{Deserialize, Serialize};

use crate::{OperatorName, Tenant};

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read configuration, status and audit trail of its tenant.
    Read,
    /// May also publish configuration and moves of its tenant.
    Publish,
    /// May read data of all tenants, and take availability zones out and put them back. Belongs to
    /// no tenant.
    Platform,
}

/// An operator of the administration API. Only the digest of the token is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name shown in the audit trail.
    pub name: OperatorName,
    /// Tenant that the operator belongs to; `None` only for [`Role::Platform`].
    pub tenant: Option<Tenant>,
    /// Permissions of the operator.
    pub role: Role,
    /// SHA-256 of the bearer token, lower-case hex.
    pub token_sha256: String,
}
