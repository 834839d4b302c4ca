//! Content of log records.

use model::{ServiceName, Tenant, Version, Wall, Zone};
use serde::{Deserialize, Serialize};

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The service runs on the new version.
    Done,
    /// The service runs on the version that it had before the move.
    Undone,
}

/// Content of a log record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Body {
    /// A tenant's configuration document.
    Config {
        /// Owner of the document.
        tenant: Tenant,
        /// Revision on which the document is based: offset of the tenant's last accepted
        /// document, 0 before the first.
        base: u64,
        /// The TOML text.
        text: String,
    },
    /// Takes an availability zone out, or puts it back into service.
    Zone {
        /// Zone that changes.
        zone: Zone,
        /// Offset of the zone's last accepted change, 0 before the first.
        base: u64,
        /// Whether the zone must receive no new calls.
        out: bool,
    },
    /// A change of the share of calls that a move directs to the new version.
    Step {
        /// Move id, `service/version/deadline_ms`.
        plan: String,
        /// Share before the step, in basis points.
        from: u16,
        /// Share after the step, in basis points.
        to: u16,
    },
    /// The verdict on a move. Only the first one in offset order takes effect.
    Verdict {
        /// Move id.
        plan: String,
        /// How the move ended.
        verdict: Verdict,
        /// Reason for operators to read.
        reason: String,
    },
    /// Stops a version: it must receive no more calls.
    Stop {
        /// Service of the version.
        service: ServiceName,
        /// Version to stop.
        version: Version,
        /// Move that the version belongs to.
        plan: String,
        /// Reason for operators to read.
        reason: String,
    },
    /// One part of a snapshot of the state.
    Snapshot {
        /// Last offset that the snapshot covers.
        covers: u64,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// SHA-256 of the concatenated parts, in hex.
        sha256: String,
        /// This part of the state's JSON.
        data: String,
    },
}

impl Body {
    /// Returns whether the record is a part of a snapshot.
    #[must_use]
    pub const fn is_snapshot(&self) -> bool {
        matches!(self, Self::Snapshot { .. })
    }

    /// Shortest time from the publication of a new move to its deadline, in milliseconds.
    pub const MIN_DEADLINE_MS: u64 = 5_000;

    /// Returns whether `deadline` is at least [`Self::MIN_DEADLINE_MS`] after `at`.
    #[must_use]
    pub const fn deadline_fits(at: Wall, deadline: Wall) -> bool {
        deadline.since_ms(at) >= Self::MIN_DEADLINE_MS
    }
}
