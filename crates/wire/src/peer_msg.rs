//! Frames between instances: bincode bodies carried in h2 streams.

use model::{InstanceId, Region, ServiceName, TargetId, Version, Zone};
use serde::{Deserialize, Serialize};

use crate::{LoanMsg, LogEntry, WireError};

/// Version of the frame schema of this build.
pub const PEER_SCHEMA: u16 = 1;
/// Largest frame body in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// A statement that only ever becomes true, sent to all peers at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// A version must receive no calls for the rest of a move.
    Stop {
        /// Service of the version.
        service: ServiceName,
        /// Version to stop.
        version: Version,
        /// Id of the move.
        plan: String,
        /// Reason for operators to read.
        reason: String,
    },
    /// An availability zone is out since a log offset, or since the proposal with this base.
    ZoneOut {
        /// Zone that is out.
        zone: Zone,
        /// Offset of the zone's previous change.
        base: u64,
    },
    /// An upstream process is draining.
    Draining {
        /// Target that is draining.
        target: TargetId,
        /// Incarnation of the target's process.
        incarnation: u64,
    },
}

/// Monotonic counters of one version on one route, as counted by one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Calls that ended.
    pub calls: u64,
    /// Calls that failed.
    pub errors: u64,
    /// Successful calls slower than the old version's 95th percentile.
    pub slow: u64,
}

/// First 16 bytes of the SHA-256 of service, class and key joined by `/`. Holders do not store the
/// key itself, so its length does not affect their memory.
pub type KeyHash = [u8; 16];

/// State of an idempotency key at a holder, an instance that records the use of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The holder did not know the key and has recorded it for the claimant.
    Fresh,
    /// The first call is running.
    Running,
    /// The first call was served.
    Done,
    /// The first call's outcome is unknown.
    Unknown,
}

/// A message between two instances, sent as one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// First frame of a stream.
    Hello {
        /// Schema version of the sender.
        schema: u16,
        /// Instance that sends the frame.
        instance: InstanceId,
        /// Availability zone of the sender.
        zone: Zone,
        /// Region of the sender.
        region: Region,
        /// Incarnation of the sender's process.
        incarnation: u64,
    },
    /// Periodic message that shows that the sender is alive.
    Heartbeat {
        /// Last log offset that the sender has applied.
        offset: u64,
        /// Whether the sender is leaving.
        leaving: bool,
        /// Version of the sender's membership view.
        view: u64,
    },
    /// A message about the slots of one service.
    Loan {
        /// Service whose slots are lent.
        service: ServiceName,
        /// Message about the loan.
        msg: LoanMsg,
    },
    /// Counters that changed since the sender's last `Evidence` frame.
    Evidence {
        /// Instance that counted.
        instance: InstanceId,
        /// Incarnation of the process that counted.
        incarnation: u64,
        /// Id of the move that the counts belong to.
        plan: String,
        /// Counters by version and route.
        routes: Vec<(Version, String, RouteCounts)>,
    },
    /// A fact that the sender passes to all its peers, see [`Fact`].
    Fact(Fact),
    /// Requests log records from an offset on.
    Fetch {
        /// First requested offset.
        from: u64,
    },
    /// Log records, or the records of a snapshot if the requested ones are no longer retained.
    Records {
        /// Records in offset order.
        records: Vec<LogEntry>,
    },
    /// Claims an idempotency key.
    KeyClaim {
        /// Number that the reply repeats.
        seq: u64,
        /// Hash of service, class and key.
        key: KeyHash,
    },
    /// Reply to a claim.
    KeyReply {
        /// Number from the claim.
        seq: u64,
        /// State of the key.
        state: KeyState,
    },
    /// Reports to the holder how the call with a key ended.
    KeyEnd {
        /// Hash of service, class and key.
        key: KeyHash,
        /// Final state of the key; [`KeyState::Fresh`] frees a key whose call was not run.
        state: KeyState,
    },
}

impl PeerMsg {
    /// Encodes the message as a frame body.
    ///
    /// # Errors
    ///
    /// Returns [`model::Code::BadFrame`] if the body would exceed [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let bytes = bincode::serde::encode_to_vec(self, config())
            .map_err(|e| WireError::new(model::Code::BadFrame, e.to_string()))?;
        if bytes.len() > MAX_FRAME_BYTES {
            let detail = format!("{} bytes, at most {MAX_FRAME_BYTES}", bytes.len());
            return Err(WireError::new(model::Code::BadFrame, detail));
        }
        Ok(bytes)
    }

    /// Decodes a frame body. Trailing bytes are an error.
    ///
    /// # Errors
    ///
    /// Returns [`model::Code::BadFrame`] if the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let invalid = |detail: String| WireError::new(model::Code::BadFrame, detail);
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(invalid(format!(
                "{} bytes, at most {MAX_FRAME_BYTES}",
                bytes.len()
            )));
        }
        let (msg, used) = bincode::serde::decode_from_slice(bytes, config())
            .map_err(|e| invalid(e.to_string()))?;
        if used != bytes.len() {
            return Err(invalid(format!("{} trailing bytes", bytes.len() - used)));
        }
        Ok(msg)
    }
}

/// Returns the bincode configuration. Its limit prevents a forged length from allocating much
/// memory.
fn config() -> bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_FRAME_BYTES>,
> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

#[cfg(test)]
mod tests;
