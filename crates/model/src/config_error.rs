//! Errors in configuration and settings documents.

use thiserror::Error;

use crate::Code;

/// One thing wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {file}: {key}: got {value}; allowed: {allowed}", code = self.code.number())]
pub struct ConfigError {
    /// Result code, one of the 5xxx codes.
    pub code: Code,
    /// Name of the document as given by the reader of the file.
    pub file: String,
    /// Path of the key, such as `service[0].class[1].target_ms`.
    pub key: String,
    /// Offending value, or `nothing`.
    pub value: String,
    /// What would be accepted.
    pub allowed: String,
}
