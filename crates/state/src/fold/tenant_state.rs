//! A tenant's document.

use model::Config;
use serde::{Deserialize, Serialize};

/// The document in force for a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantState {
    /// Offset of the accepted record.
    pub revision: u64,
    /// The TOML text.
    pub text: String,
    /// Its content.
    pub config: Config,
}
