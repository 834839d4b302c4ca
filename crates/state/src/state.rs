//! State of one instance: the fold, and the position up to which the log was read.
//!
//! The log reader fetches records from [`State::next_offset`] on and passes each to
//! [`State::apply`]. When the log dropped records before they were read, the state waits for a
//! complete snapshot that covers the gap, continues from it, and has the records after it read
//! again.

use model::{Code, InstanceId, OperatorName, Wall};
use wire::{AuditEntry, Body, Record};

use crate::{
    Applied, Fold, Proposal, SNAPSHOT_INTERVAL, Scope,
    assembly::{Assembly, SnapshotPart},
    snapshot::{self, snapshot_wait_ms},
};

/// A range of records that the log dropped before they were read.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// First offset after the gap.
    first_readable: u64,
    /// Last offset that was read after the gap.
    last_seen: u64,
}

/// Shared state as far as one instance has read the log.
#[derive(Clone, Debug, Default)]
pub struct State {
    fold: Fold,
    assembly: Assembly,
    gap: Option<Gap>,
    /// Number of records applied after the last complete snapshot.
    since_snapshot: u64,
    /// Offset that the last complete snapshot covers.
    snapshot_offset: u64,
}

impl State {
    /// Returns the shared state after the records up to [`State::offset`]. It is the same in all
    /// instances at the same offset.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the offset of the last record that was applied.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.fold.offset
    }

    /// Returns the offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.gap.map_or(self.fold.offset, |g| g.last_seen) + 1
    }

    /// Returns whether records were missed that no snapshot has covered yet.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns the number of bytes held for incomplete snapshots.
    #[must_use]
    pub fn assembly_bytes(&self) -> usize {
        self.assembly.bytes()
    }

    /// Applies the record at `offset`. A record that was applied before changes nothing.
    ///
    /// # Panics
    ///
    /// Panics if the state would go back to an earlier offset (code 9010), which is a defect.
    pub fn apply(&mut self, offset: u64, data: &str) -> Applied {
        if offset <= self.fold.offset {
            return applied(offset, "", Code::Repeated, "offset was read before");
        }
        let before = self.fold.offset;
        let applied = if offset == before + 1 {
            self.gap = None;
            self.apply_next(offset, data)
        } else {
            self.apply_after_gap(offset, data)
        };
        assert!(self.fold.offset >= before, "{}", Code::Reverted);
        applied
    }

    /// Replaces the state by a snapshot that a peer forwarded as a whole. Changes nothing unless the
    /// snapshot is complete and covers records after [`State::offset`].
    pub fn adopt_snapshot(&mut self, records: &[Record]) -> Applied {
        let mut assembly = Assembly::default();
        for record in records {
            let Some(part) = snapshot_part(&record.body) else {
                continue;
            };
            let Ok(Some(json)) = assembly.add(part) else {
                continue;
            };
            let code = self.restore(part.covers, &json);
            return applied(part.covers, &record.id, code, "");
        }
        applied(0, "", Code::SnapshotIncomplete, "parts are missing")
    }

    /// Returns the records of a snapshot of the current state.
    ///
    /// # Panics
    ///
    /// Never panics: the fold consists of strings, numbers and maps with string keys.
    #[must_use]
    pub fn snapshot(&self, author: &OperatorName, at: Wall) -> Vec<Record> {
        let json = serde_json::to_string(&self.fold).expect("the fold has only string keys");
        snapshot::records(self.fold.offset, &json, author, at)
    }

    /// Returns whether enough records were applied since the last snapshot, or since this state was
    /// created if there was none.
    #[must_use]
    pub const fn is_snapshot_due(&self) -> bool {
        self.gap.is_none() && self.since_snapshot >= SNAPSHOT_INTERVAL
    }

    /// Returns how long `me` waits before it appends the snapshot that is due, or `None` if none is.
    #[must_use]
    pub fn snapshot_wait_ms(&self, me: &InstanceId, live: &[InstanceId]) -> Option<u64> {
        self.is_snapshot_due()
            .then(|| snapshot_wait_ms(self.snapshot_offset, me, live))
    }

    /// Returns a proposal with its outcome, if the log holds it and it is among the latest ones.
    #[must_use]
    pub fn proposal(&self, scope: &Scope, id: &str) -> Option<Proposal> {
        self.fold.outcomes.get(scope, id)
    }

    /// Returns the audit trail in offset order.
    #[must_use]
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.fold.audit.entries()
    }

    /// Applies the record that directly follows the last one.
    fn apply_next(&mut self, offset: u64, data: &str) -> Applied {
        let record = match Record::decode(data) {
            Ok(record) => record,
            Err(error) => {
                self.since_snapshot += 1;
                self.fold.skip(offset, error.code);
                return applied(offset, "", error.code, &error.detail);
            }
        };
        let Some(part) = snapshot_part(&record.body) else {
            self.since_snapshot += 1;
            let (code, detail) = self.fold.apply(offset, &record);
            return applied(offset, &record.id, code, &detail);
        };
        self.fold.offset = offset;
        match self.add_part(offset, part) {
            Ok(Some(_)) => {
                self.record_snapshot(part.covers);
                applied(offset, &record.id, Code::Accepted, "snapshot complete")
            }
            Ok(None) => applied(offset, &record.id, Code::Accepted, "snapshot part"),
            Err((code, detail)) => applied(offset, &record.id, code, detail),
        }
    }

    /// Reads a record after a gap. Only a snapshot that covers the missed records has an effect.
    fn apply_after_gap(&mut self, offset: u64, data: &str) -> Applied {
        let gap = self.gap.get_or_insert(Gap {
            first_readable: offset,
            last_seen: offset,
        });
        // A second gap before a snapshot closed the first one: the snapshot has to cover both.
        if offset > gap.last_seen + 1 {
            gap.first_readable = offset;
        }
        gap.last_seen = gap.last_seen.max(offset);
        let first = gap.first_readable;
        let expired = |detail| applied(offset, "", Code::Expired, detail);
        let Ok(record) = Record::decode(data) else {
            return expired("waits for a snapshot");
        };
        let Some(part) = snapshot_part(&record.body) else {
            return expired("waits for a snapshot");
        };
        match self.add_part(offset, part) {
            Ok(Some(json)) if part.covers + 1 >= first => {
                let code = self.restore(part.covers, &json);
                applied(offset, &record.id, code, "")
            }
            Ok(_) => expired("waits for a snapshot"),
            Err((code, detail)) => applied(offset, &record.id, code, detail),
        }
    }

    /// Adds a part of a snapshot. Returns the JSON of the snapshot if the part completes it.
    fn add_part(
        &mut self,
        offset: u64,
        part: SnapshotPart<'_>,
    ) -> Result<Option<String>, (Code, &'static str)> {
        if part.covers >= offset {
            return Err((Code::SnapshotIncomplete, "covers records after itself"));
        }
        if part.covers < self.snapshot_offset {
            return Ok(None);
        }
        self.assembly.add(part)
    }

    /// Records that the log holds a complete snapshot that covers the records up to `covers`.
    fn record_snapshot(&mut self, covers: u64) {
        self.snapshot_offset = self.snapshot_offset.max(covers);
        self.since_snapshot = self.since_snapshot.min(self.fold.offset - covers);
        self.assembly.drop_until(covers);
    }

    /// Replaces the state by that of a snapshot.
    fn restore(&mut self, covers: u64, json: &str) -> Code {
        if covers <= self.fold.offset {
            return Code::Repeated;
        }
        let Ok(fold) = serde_json::from_str::<Fold>(json) else {
            return Code::UnknownKind;
        };
        if fold.offset != covers {
            return Code::SnapshotIncomplete;
        }
        self.fold = fold;
        self.gap = None;
        self.since_snapshot = 0;
        self.record_snapshot(covers);
        Code::Accepted
    }
}

fn snapshot_part(body: &Body) -> Option<SnapshotPart<'_>> {
    let Body::Snapshot {
        covers,
        part,
        parts,
        sha256,
        data,
    } = body
    else {
        return None;
    };
    Some(SnapshotPart {
        covers: *covers,
        number: *part,
        parts: *parts,
        sha256,
        data,
    })
}

fn applied(offset: u64, id: &str, code: Code, detail: &str) -> Applied {
    Applied {
        offset,
        id: id.to_owned(),
        code,
        detail: detail.to_owned(),
    }
}

#[cfg(test)]
mod tests;
