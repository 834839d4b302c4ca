//! The state of one instance: the fold, and how far it has read.
//!
//! The reader of the log asks for records from [`State::next`] on and passes each to
//! [`State::apply`]. When records are gone before they were read, the state waits for a complete
//! snapshot that covers the gap, continues from there and has the records after it read again.

use model::{Code, InstanceId, OperatorName, Wall};
use wire::{AuditEntry, Body, Record};

use crate::{
    Applied, Fold, Proposal, SNAPSHOT_RECORDS, Scope,
    assembly::{Assembly, Part},
    snapshot::{self, snapshot_wait_ms},
};

/// Records that were missed.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// First offset that was there again.
    first: u64,
    /// Last offset seen since.
    seen: u64,
}

/// Shared state as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct State {
    fold: Fold,
    assembly: Assembly,
    gap: Option<Gap>,
    /// Records that were folded after the last complete snapshot.
    since: u64,
    /// Offset that the last complete snapshot covers.
    covered: u64,
}

impl State {
    /// What the records up to [`State::offset`] add up to. Equal at equal offsets everywhere.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Last offset in force.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.fold.offset
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.gap.map_or(self.fold.offset, |g| g.seen) + 1
    }

    /// Whether records were missed and no snapshot has covered them yet.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.gap.is_some()
    }

    /// Bytes held for incomplete snapshots.
    #[must_use]
    pub fn assembly_bytes(&self) -> usize {
        self.assembly.bytes()
    }

    /// Takes the record at `offset`. Offsets up to the last one in force change nothing.
    ///
    /// # Panics
    ///
    /// If the state would go back (9010), which is a defect.
    pub fn apply(&mut self, offset: u64, data: &str) -> Applied {
        if offset <= self.fold.offset {
            return applied(offset, "", Code::Repeated, "offset was read before");
        }
        let before = self.fold.offset;
        let applied = if offset == before + 1 {
            self.gap = None;
            self.fold_record(offset, data)
        } else {
            self.skip_record(offset, data)
        };
        assert!(self.fold.offset >= before, "{}", Code::Reverted);
        applied
    }

    /// Takes a whole snapshot, as a peer forwards it. Changes nothing unless the snapshot is
    /// complete and covers more than is in force.
    pub fn adopt(&mut self, records: &[Record]) -> Applied {
        let mut assembly = Assembly::default();
        for record in records {
            let Some(part) = part_of(&record.body) else {
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

    /// The records of a snapshot of everything in force.
    ///
    /// # Panics
    ///
    /// Never: the fold is made of strings, numbers and maps with string keys.
    #[must_use]
    pub fn snapshot(&self, author: &OperatorName, at: Wall) -> Vec<Record> {
        let json = serde_json::to_string(&self.fold).expect("the fold has only string keys");
        snapshot::records(self.fold.offset, &json, author, at)
    }

    /// Whether enough records came after the last snapshot, or after the start.
    #[must_use]
    pub const fn is_snapshot_due(&self) -> bool {
        self.gap.is_none() && self.since >= SNAPSHOT_RECORDS
    }

    /// How long `me` waits before it appends the snapshot that is due; `None` if none is.
    #[must_use]
    pub fn snapshot_wait_ms(&self, me: &InstanceId, live: &[InstanceId]) -> Option<u64> {
        self.is_snapshot_due()
            .then(|| snapshot_wait_ms(self.covered, me, live))
    }

    /// What became of a proposal, if the log holds it and it is among the last ones.
    #[must_use]
    pub fn proposal(&self, scope: &Scope, id: &str) -> Option<Proposal> {
        self.fold.outcomes.get(scope, id)
    }

    /// The audit trail in offset order.
    #[must_use]
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.fold.audit.entries()
    }

    fn fold_record(&mut self, offset: u64, data: &str) -> Applied {
        let record = match Record::decode(data) {
            Ok(record) => record,
            Err(error) => {
                self.since += 1;
                self.fold.skip(offset, error.code);
                return applied(offset, "", error.code, &error.detail);
            }
        };
        let Some(part) = part_of(&record.body) else {
            self.since += 1;
            let (code, detail) = self.fold.apply(offset, &record);
            return applied(offset, &record.id, code, &detail);
        };
        self.fold.offset = offset;
        match self.take_part(offset, part) {
            Ok(Some(_)) => {
                self.note_snapshot(part.covers);
                applied(offset, &record.id, Code::Accepted, "snapshot complete")
            }
            Ok(None) => applied(offset, &record.id, Code::Accepted, "snapshot part"),
            Err((code, detail)) => applied(offset, &record.id, code, detail),
        }
    }

    /// Looks for a snapshot that covers the records that were missed.
    fn skip_record(&mut self, offset: u64, data: &str) -> Applied {
        let gap = self.gap.get_or_insert(Gap {
            first: offset,
            seen: offset,
        });
        // A second gap while the first is open: only a snapshot that covers both helps.
        if offset > gap.seen + 1 {
            gap.first = offset;
        }
        gap.seen = gap.seen.max(offset);
        let first = gap.first;
        let expired = |detail| applied(offset, "", Code::Expired, detail);
        let Ok(record) = Record::decode(data) else {
            return expired("waits for a snapshot");
        };
        let Some(part) = part_of(&record.body) else {
            return expired("waits for a snapshot");
        };
        match self.take_part(offset, part) {
            Ok(Some(json)) if part.covers + 1 >= first => {
                let code = self.restore(part.covers, &json);
                applied(offset, &record.id, code, "")
            }
            Ok(_) => expired("waits for a snapshot"),
            Err((code, detail)) => applied(offset, &record.id, code, detail),
        }
    }

    fn take_part(
        &mut self,
        offset: u64,
        part: Part<'_>,
    ) -> Result<Option<String>, (Code, &'static str)> {
        if part.covers >= offset {
            return Err((Code::SnapshotIncomplete, "covers records after itself"));
        }
        if part.covers < self.covered {
            return Ok(None);
        }
        self.assembly.add(part)
    }

    fn note_snapshot(&mut self, covers: u64) {
        self.covered = self.covered.max(covers);
        self.since = self.since.min(self.fold.offset - covers);
        self.assembly.drop_until(covers);
    }

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
        self.since = 0;
        self.note_snapshot(covers);
        Code::Accepted
    }
}

fn part_of(body: &Body) -> Option<Part<'_>> {
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
    Some(Part {
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
