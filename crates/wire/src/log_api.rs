//! Bodies of the platform's log service.

use serde::{Deserialize, Serialize};

/// Body of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in order.
    pub records: Vec<String>,
}

/// Response body of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record. The other records have the next offsets.
    pub offset: u64,
}

/// One record and its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset, from 1.
    pub offset: u64,
    /// The record's text.
    pub data: String,
}

/// Response body of a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Smallest retained offset.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Records from the requested offset on.
    pub records: Vec<LogEntry>,
}
