//! Configuration document of a tenant.

use model::Config;
use serde::{Deserialize, Serialize};

/// The configuration document in force for a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantState {
    /// Offset of the record that published the document.
    pub revision: u64,
    /// Document text in TOML.
    pub text: String,
    /// Parsed document.
    pub config: Config,
}
