//! What an instance tells another one of the operator's records.

use balance::Position;
use bincode::{config::standard, serde::encode_to_vec};
use h1::Request;
use platform::Record;
use serde::{Deserialize, Serialize};

use crate::{operator_age::operator_age_ms, response::encode_local, state::State, wire_format};

/// Path of the request for records. Its query has the position of the next record that the asking instance
/// reads (`era`, `from`) and the version of its configuration (`config`).
pub const RECORDS_PATH: &str = "/operator-records";

/// Position, key and value of a record.
pub type RawRecord = (Position, String, Vec<u8>);

/// What an instance knows of the operator's records beyond a position. The order and the types of the fields are the
/// wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecords {
    /// Position of the next record that the instance reads.
    pub next: Position,
    /// Time for which the operator may have written records that it does not know, in milliseconds.
    pub age_ms: u64,
    /// Whether `records` has the latest record of each key. Otherwise it has all records from the asked
    /// position on.
    pub is_listing: bool,
    /// Records before `next`.
    pub records: Vec<RawRecord>,
    /// Configuration in force, if it is newer than the one of the asking instance. The store may have lost it.
    pub config: Option<RawRecord>,
}

impl PeerRecords {
    /// Returns what this instance knows beyond `from` and the configuration `config_version`.
    fn of(state: &State, from: Position, config_version: u64) -> Option<Self> {
        let next = state.operator_next.get();
        state.config()?;
        let relay = state.relay.borrow();
        let since = relay.since(from, next);
        let is_listing = since.is_none();
        // A store that has come back from an earlier copy may lack what is in force.
        if is_listing && state.era_since.get().is_some() {
            return None;
        }
        let records = since.unwrap_or_else(|| relay.newest().cloned().collect());
        let is_newer = state.config_version() > config_version;
        let config = relay.config().filter(|_| is_newer);
        Some(Self {
            next,
            age_ms: operator_age_ms(state),
            is_listing,
            records: records.into_iter().map(raw).collect(),
            config: config.cloned().map(raw),
        })
    }

    /// Decodes the body of a response. Returns `None` if it is none of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        wire_format::decode(bytes)
    }

    /// Returns the records, and the configuration.
    pub fn into_records(self) -> (Vec<Record>, Option<Record>) {
        let records = self.records.into_iter().map(record).collect();
        (records, self.config.map(record))
    }
}

fn raw(record: Record) -> RawRecord {
    (record.position, record.key, record.value)
}

fn record((position, key, value): RawRecord) -> Record {
    Record {
        position,
        key,
        value,
    }
}

/// Returns the target of a request for what is known beyond `from`.
pub fn target(from: Position, config_version: u64) -> String {
    let Position { era, offset } = from;
    format!("{RECORDS_PATH}?era={era}&from={offset}&config={config_version}")
}

/// Returns the response to a request for records: 400 if a part of its query is missing, 503 if this instance
/// has no complete view.
pub fn answer(state: &State, request: &Request) -> Vec<u8> {
    let close = !request.keep_alive;
    let number = |name| {
        request
            .query(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let query = (number("era"), number("from"), number("config"));
    let (Some(era), Some(offset), Some(config_version)) = query else {
        return encode_local(400, "Bad Request", "text/plain", b"query\n", close);
    };
    let Some(records) = PeerRecords::of(state, Position { era, offset }, config_version) else {
        return encode_local(503, "Service Unavailable", "text/plain", b"", close);
    };
    let body = encode_to_vec(&records, standard()).unwrap_or_default();
    encode_local(200, "OK", "application/octet-stream", &body, close)
}

#[cfg(test)]
mod tests;
