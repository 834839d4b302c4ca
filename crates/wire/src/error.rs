//! Errors of encoding and decoding.

use model::Code;
use thiserror::Error;

/// Error from encoding or decoding a record or frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {detail}")]
pub struct WireError {
    /// Result code, one of the 7xxx or 8xxx codes.
    pub code: Code,
    /// Description of the error.
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
