//! Content of log records.

use model::{ServiceName, Tenant, Version, Wall, Zone};
use serde::{Deserialize, Serialize};

/// Outcome of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The service runs on the new version.
    Done,
    /// The service runs on the version it had before.
    Undone,
}

/// What a record asks for or states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Body {
    /// A tenant's configuration document.
    Config {
        /// Owner of the document.
        tenant: Tenant,
        /// Revision that the document was made against: offset of the tenant's last accepted
        /// document, 0 before the first.
        base: u64,
        /// The TOML text.
        text: String,
    },
    /// An availability zone taken out or back.
    Zone {
        /// The zone.
        zone: Zone,
        /// Offset of the zone's last accepted change, 0 before the first.
        base: u64,
        /// Whether the zone is to receive no new work.
        out: bool,
    },
    /// A step of a move.
    Step {
        /// Move id, `service/version/deadline_ms`.
        plan: String,
        /// Share before the step, in basis points.
        from: u16,
        /// Share after the step, in basis points.
        to: u16,
    },
    /// The outcome of a move. The first in offset order counts.
    Verdict {
        /// Move id.
        plan: String,
        /// Outcome.
        verdict: Verdict,
        /// Why.
        reason: String,
    },
    /// A version that must receive no work.
    Stop {
        /// Service of the version.
        service: ServiceName,
        /// The version.
        version: Version,
        /// Move that the version belongs to.
        plan: String,
        /// Why.
        reason: String,
    },
    /// One part of a snapshot of the state.
    Snapshot {
        /// Last offset that the snapshot covers.
        covers: u64,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// SHA-256 of all parts joined, hex.
        sha256: String,
        /// This part of the state's JSON.
        data: String,
    },
}

impl Body {
    /// Whether the record may be dropped in favour of a snapshot that covers it.
    #[must_use]
    pub const fn is_snapshot(&self) -> bool {
        matches!(self, Self::Snapshot { .. })
    }

    /// Smallest distance between a new move's deadline and the time of its document.
    pub const MIN_DEADLINE_MS: u64 = 5_000;

    /// Whether `deadline` is far enough ahead of `at`.
    #[must_use]
    pub const fn deadline_fits(at: Wall, deadline: Wall) -> bool {
        deadline.since_ms(at) >= Self::MIN_DEADLINE_MS
    }
}
