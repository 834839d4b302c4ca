//! Bodies of the platform's log service.

use serde::{Deserialize, Serialize};

/// Body of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in order.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record; the others follow.
    pub offset: u64,
}

/// One record and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset, from 1.
    pub offset: u64,
    /// The record's text.
    pub data: String,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Smallest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for on.
    pub records: Vec<LogEntry>,
}
