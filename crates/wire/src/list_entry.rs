//! Entries of the platform's instance list.

use std::net::SocketAddr;

use model::{Region, ServiceName, Version, Zone};
use serde::{Deserialize, Serialize};

/// Kind of process that an entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// An instance of the system.
    Entry,
    /// An upstream process.
    Upstream,
}

/// Whether the process of an entry may receive new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// May receive new calls.
    Live,
    /// Must receive no new calls.
    Leaving,
}

/// One instance of the system or one upstream process in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Unique id.
    pub id: String,
    /// Kind of process that the entry describes.
    pub kind: EntryKind,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Address for other instances; instances only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Service of the process; upstreams only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Version that the process runs; upstreams only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Number of calls that the upstream runs concurrently; upstreams only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether the process may receive new calls.
    pub state: EntryState,
    /// Distinguishes successive processes with the same id; later ones are larger.
    pub incarnation: u64,
}

/// Response body of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAnswer {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// All entries.
    pub entries: Vec<ListEntry>,
}
