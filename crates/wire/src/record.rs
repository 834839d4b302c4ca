//! Log records and their encoding as a line of text: schema prefix, checksum, JSON.

use model::{Code, OperatorName, Wall};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Body, WireError};

/// Largest record in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Prefix of every record; names the version of the record schema.
const SCHEMA_PREFIX: &str = "hw1 ";
/// Number of bytes of the SHA-256 digest that the checksum contains.
const CHECKSUM_BYTES: usize = 8;

/// A record of the log: a proposal of an operator or a statement of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Unique id of the proposal. Repeats with the same id are no-ops.
    pub id: String,
    /// Operator or instance that made the record.
    pub author: OperatorName,
    /// Author's wall-clock time.
    pub at: Wall,
    /// Content of the record.
    pub body: Body,
}

impl Record {
    /// Encodes the record as a line of text.
    ///
    /// # Errors
    ///
    /// Returns [`Code::RecordTooLarge`] if the line is longer than [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<String, WireError> {
        let json = serde_json::to_string(self)
            .map_err(|e| WireError::new(Code::Foreign, e.to_string()))?;
        let line = format!("{SCHEMA_PREFIX}{} {json}", checksum(json.as_bytes()));
        if line.len() > MAX_RECORD_BYTES {
            return Err(too_large(line.len()));
        }
        Ok(line)
    }

    /// Decodes a line of text.
    ///
    /// # Errors
    ///
    /// Returns a 7xxx code that distinguishes foreign, damaged, unknown and oversized records.
    pub fn decode(line: &str) -> Result<Self, WireError> {
        if line.len() > MAX_RECORD_BYTES {
            return Err(too_large(line.len()));
        }
        let Some(rest) = line.strip_prefix(SCHEMA_PREFIX) else {
            return Err(WireError::new(
                Code::Foreign,
                "the record does not start with the schema prefix",
            ));
        };
        let Some((found, json)) = rest.split_once(' ') else {
            return Err(WireError::new(Code::Foreign, "the record has no checksum"));
        };
        if found != checksum(json.as_bytes()) {
            return Err(WireError::new(Code::Checksum, format!("got {found}")));
        }
        serde_json::from_str(json).map_err(|e| WireError::new(Code::UnknownKind, e.to_string()))
    }
}

fn too_large(len: usize) -> WireError {
    WireError::new(
        Code::RecordTooLarge,
        format!("{len} bytes, at most {MAX_RECORD_BYTES}"),
    )
}

/// Returns the checksum of `bytes` in hex.
fn checksum(bytes: &[u8]) -> String {
    use std::fmt::Write as _;

    let digest = Sha256::digest(bytes);
    digest
        .iter()
        .take(CHECKSUM_BYTES)
        .fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

#[cfg(test)]
mod tests;
