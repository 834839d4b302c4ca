//! Errors of decoding.

use model::Code;
use thiserror::Error;

/// Why bytes from outside could not be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {detail}")]
pub struct WireError {
    /// Result code, one of the 7xxx or 8xxx codes.
    pub code: Code,
    /// What was found.
    pub detail: String,
}

impl WireError {
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}
