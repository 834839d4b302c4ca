//! Applies log records from the log service and from peers, and appends snapshots when due.

use model::{Code, OperatorName, Time, Wall};
use state::{Applied, Scope};
use tracing::{info, warn};
use wire::{LogEntry, ProposalAnswer, ReadAnswer, Record};

use crate::control::thread::Control;

/// Time without an answer after which the log service counts as down, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of records of one snapshot, and thus of those kept while a peer sends a snapshot.
const MAX_SNAPSHOT_RECORDS: usize = 256;

/// Returns whether the log service answered within the last [`LOG_TIMEOUT_MS`].
pub fn is_log_up(control: &Control, now: Time) -> bool {
    control
        .last_read
        .is_some_and(|at| now.since_us(at) < LOG_TIMEOUT_MS * 1_000)
}

/// Applies the records of a read of the log.
pub fn handle_read(control: &mut Control, now: Time, answer: &ReadAnswer) {
    control.last_read = Some(now);
    for entry in &answer.records {
        apply(control, entry);
        // A snapshot that closed a gap may end before this entry: the records after the snapshot are
        // then read again.
        if control.state.next_offset() <= entry.offset {
            break;
        }
    }
    if control.state.next_offset() >= answer.next {
        control.proposals.record_log_end();
        for record in control.proposals.take_missing() {
            let id = record.id.clone();
            if control.appender.try_send(record).is_err() {
                control.proposals.record_append_ended(&[id]);
            }
        }
    }
}

/// Applies records that a peer sent: a range of the log, or records of a snapshot, with offset 0.
pub fn apply_forwarded(control: &mut Control, entries: &[LogEntry]) {
    for entry in entries {
        if entry.offset == 0 {
            adopt_snapshot_record(control, entry);
        } else if entry.offset <= control.state.offset() + 1 {
            apply(control, entry);
        }
    }
}

fn apply(control: &mut Control, entry: &LogEntry) {
    let before = control.state.offset();
    let applied = control.state.apply(entry.offset, &entry.data);
    if control.state.offset() > before {
        control.recent.push(entry);
    }
    report(control, &applied, &entry.data);
}

/// Logs the outcome of a record and answers the proposal that it belongs to.
fn report(control: &mut Control, applied: &Applied, data: &str) {
    let instance = &control.ctx.settings.instance;
    let (offset, code) = (applied.offset, applied.code.number());
    let Ok(record) = Record::decode(data) else {
        if applied.code != Code::Repeated {
            warn!(event = "record_skipped", %instance, offset, code, detail = applied.detail);
        }
        return;
    };
    let Some(scope) = Scope::of(&record.body) else {
        return;
    };
    let Some(known) = control.state.proposal(&scope, &record.id) else {
        return;
    };
    if known.offset == offset {
        let (id, author, detail) = (&record.id, &record.author, &applied.detail);
        info!(event = "proposal_decided", %instance, offset, code, id, %author, detail);
    }
    let detail = if known.offset == offset {
        applied.detail.clone()
    } else {
        String::new()
    };
    let answer = ProposalAnswer {
        id: record.id,
        code: known.code,
        offset: Some(known.offset),
        detail,
    };
    control.proposals.decide(&scope, &answer);
}

fn adopt_snapshot_record(control: &mut Control, entry: &LogEntry) {
    let Ok(record) = Record::decode(&entry.data) else {
        return;
    };
    if control.snapshot_records.len() >= MAX_SNAPSHOT_RECORDS {
        control.snapshot_records.clear();
    }
    control.snapshot_records.push(record);
    let applied = control.state.adopt_snapshot(&control.snapshot_records);
    if applied.is_accepted() {
        control.snapshot_records.clear();
        let instance = &control.ctx.settings.instance;
        info!(event = "snapshot_adopted", %instance, offset = applied.offset);
    }
}

/// Appends a snapshot if one is due and it is this instance's turn to append it.
pub fn tick(control: &mut Control, now: Time, wall: Wall) {
    let me = control.ctx.settings.instance.clone();
    let live = control.members.view(now).live_ids();
    let Some(wait_ms) = control.state.snapshot_wait_ms(&me, &live) else {
        control.snapshot_at = None;
        return;
    };
    let due = *control.snapshot_at.get_or_insert(now.plus_ms(wait_ms));
    if now < due || !is_log_up(control, now) {
        return;
    }
    // If the append is lost, this instance tries again after a whole round of turns.
    control.snapshot_at = Some(now.plus_ms(wait_ms.max(1_000) + 30_000));
    let records = control
        .state
        .snapshot(&OperatorName::new(me.as_str()), wall);
    info!(event = "snapshot_append", instance = %me, offset = control.state.offset(), parts = records.len());
    for record in records {
        let _ = control.appender.try_send(record);
    }
}
