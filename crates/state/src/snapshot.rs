//! Encodes snapshots of the fold as log records, and decides when an instance appends one.

use model::{InstanceId, OperatorName, Wall, rendezvous, rendezvous_rank};
use sha2::{Digest, Sha256};
use wire::{Body, Record};

/// Number of records after the last snapshot at which the next one is due.
pub const SNAPSHOT_INTERVAL: u64 = 512;
/// Largest size of a part within its record: [`wire::MAX_RECORD_BYTES`] less room for the other
/// fields.
const PART_BYTES: usize = 60 * 1024;
/// Time that an instance waits for each instance ranked before it. Appending a snapshot and reading
/// it back takes well below a second unless the log is slow, and duplicates are harmless.
const TURN_MS: u64 = 2_000;
/// Upper bound of the delay added to the wait, fixed for an instance and a snapshot.
const JITTER_MS: u64 = 1_000;

/// Returns how long `me` waits before it appends the next snapshot after the one that covers `last`,
/// according to its rank among the `live` instances.
#[must_use]
pub fn snapshot_wait_ms(last: u64, me: &InstanceId, live: &[InstanceId]) -> u64 {
    let key = format!("snapshot/{last}");
    let rank = rank(&key, me, live);
    rank * TURN_MS + rendezvous(me.as_str(), &key) % JITTER_MS
}

/// Returns the rank of `me` among the `live` instances for `key`, counted from 0. An instance that
/// is not among them ranks last.
pub(crate) fn rank(key: &str, me: &InstanceId, live: &[InstanceId]) -> u64 {
    let mut ids: Vec<&str> = live.iter().map(InstanceId::as_str).collect();
    rendezvous_rank(key, &mut ids);
    let at = ids.iter().position(|id| *id == me.as_str());
    at.unwrap_or(ids.len()) as u64
}

/// Returns the records of a snapshot. Equal states give equal ids and parts, whichever instance
/// makes them.
pub(crate) fn records(covers: u64, json: &str, author: &OperatorName, at: Wall) -> Vec<Record> {
    let sha256 = hex(&Sha256::digest(json.as_bytes()));
    let chunks = split(json, PART_BYTES);
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let record = |(part, data): (u32, &str)| Record {
        id: format!("snapshot/{covers}/{}/{part}", &sha256[..16]),
        author: author.clone(),
        at,
        body: Body::Snapshot {
            covers,
            part,
            parts,
            sha256: sha256.clone(),
            data: data.to_owned(),
        },
    };
    (0..parts).zip(chunks).map(record).collect()
}

/// Splits `text` so that each piece takes at most `limit` bytes as a JSON string.
fn split(text: &str, limit: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (at, c) in text.char_indices() {
        let added = escaped_len(c);
        if size + added > limit {
            pieces.push(&text[start..at]);
            start = at;
            size = 0;
        }
        size += added;
    }
    pieces.push(&text[start..]);
    pieces
}

/// Returns the number of bytes of `c` in a JSON string as `serde_json` writes it.
fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        '\0'..='\u{1f}' => 6,
        _ => c.len_utf8(),
    }
}

/// Returns `bytes` in lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;

    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
