//! Snapshots of the fold as log records, and whose turn it is to append one.

use model::{InstanceId, OperatorName, Wall, rendezvous, rendezvous_rank};
use sha2::{Digest, Sha256};
use wire::{Body, Record};

/// Records after which a snapshot is due.
pub const SNAPSHOT_RECORDS: u64 = 512;
/// Bytes of a part within its record: [`wire::MAX_RECORD_BYTES`] less room for the other fields.
const PART_BYTES: usize = 60 * 1024;
/// Wait for each instance of a higher rank. Appending and reading a snapshot back takes well below
/// a second unless the log is slow, in which case duplicates are harmless.
const TURN_MS: u64 = 2_000;
const JITTER_MS: u64 = 1_000;

/// How long `me` waits before it appends the snapshot that is due after the one that covers `last`,
/// by its rank among the `live` instances.
#[must_use]
pub fn snapshot_wait_ms(last: u64, me: &InstanceId, live: &[InstanceId]) -> u64 {
    let key = format!("snapshot/{last}");
    let rank = rank(&key, me, live);
    rank * TURN_MS + rendezvous(me.as_str(), &key) % JITTER_MS
}

/// Position of `me` among the `live` instances for `key`, the last one if it is not among them.
pub(crate) fn rank(key: &str, me: &InstanceId, live: &[InstanceId]) -> u64 {
    let mut ids: Vec<&str> = live.iter().map(InstanceId::as_str).collect();
    rendezvous_rank(key, &mut ids);
    let at = ids.iter().position(|id| *id == me.as_str());
    at.unwrap_or(ids.len()) as u64
}

/// The records of a snapshot. Equal states give equal ids and parts whoever makes them.
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

/// Cuts `text` so that each piece takes at most `limit` bytes as a JSON string.
fn split(text: &str, limit: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (at, c) in text.char_indices() {
        let more = escaped_len(c);
        if size + more > limit {
            pieces.push(&text[start..at]);
            start = at;
            size = 0;
        }
        size += more;
    }
    pieces.push(&text[start..]);
    pieces
}

/// Bytes of `c` in a JSON string as `serde_json` writes it.
fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        '\0'..='\u{1f}' => 6,
        _ => c.len_utf8(),
    }
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;

    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
