//! Errors in configuration and settings documents.

use thiserror::Error;

use crate::Code;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {file}: {key}: got {value}; allowed: {allowed}", code = self.code.number())]
pub struct ConfigError {
    /// Result code, one of the 5xxx codes.
    pub code: Code,
    /// Name of the document, as passed to the parser.
    pub file: String,
    /// Path of the key, such as `service[0].class[1].target_ms`.
    pub key: String,
    /// Value that is not allowed; `nothing` if it is missing.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}
