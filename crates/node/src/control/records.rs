//! Takes log records from the log service and from peers, and appends snapshots when due.

use model::{Code, OperatorName, Time, Wall};
use state::{Applied, Scope};
use tracing::{info, warn};
use wire::{LogEntry, ProposalAnswer, ReadAnswer, Record};

use crate::control::thread::Control;

/// Time without an answer after which the log service counts as down, in milliseconds.
const LOG_DOWN_MS: u64 = 3_000;
/// Parts of a snapshot that are kept while a peer passes it on: the most that a snapshot may have.
const MAX_ADOPTING: usize = 256;

/// Whether the log service answered lately.
pub fn is_log_up(control: &Control, now: Time) -> bool {
    control
        .log_read
        .is_some_and(|at| now.since_us(at) < LOG_DOWN_MS * 1_000)
}

/// Takes the answer to a read of the log.
pub fn take_read(control: &mut Control, now: Time, answer: &ReadAnswer) {
    control.log_read = Some(now);
    for entry in &answer.records {
        apply(control, entry);
        // A snapshot that closed a gap covers less than was read: what follows it is read again.
        if control.state.next_offset() <= entry.offset {
            break;
        }
    }
    if control.state.next_offset() >= answer.next {
        control.proposals.note_end();
        for record in control.proposals.take_missing() {
            let id = record.id.clone();
            if control.appender.try_send(record).is_err() {
                control.proposals.note_ended(&[id]);
            }
        }
    }
}

/// Takes records that a peer passed on: a run of the log, or parts of a snapshot, which have offset 0.
pub fn take_forwarded(control: &mut Control, entries: &[LogEntry]) {
    for entry in entries {
        if entry.offset == 0 {
            adopt_part(control, entry);
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

fn adopt_part(control: &mut Control, entry: &LogEntry) {
    let Ok(record) = Record::decode(&entry.data) else {
        return;
    };
    if control.adopting.len() >= MAX_ADOPTING {
        control.adopting.clear();
    }
    control.adopting.push(record);
    let applied = control.state.adopt_snapshot(&control.adopting);
    if applied.is_accepted() {
        control.adopting.clear();
        let instance = &control.ctx.settings.instance;
        info!(event = "snapshot_adopted", %instance, offset = applied.offset);
    }
}

/// Appends the snapshot that is due when it is this instance's turn.
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
    // The next try is a whole round of turns away, in case the append is lost.
    control.snapshot_at = Some(now.plus_ms(wait_ms.max(1_000) + 30_000));
    let records = control
        .state
        .snapshot(&OperatorName::new(me.as_str()), wall);
    info!(event = "snapshot_append", instance = %me, offset = control.state.offset(), parts = records.len());
    for record in records {
        let _ = control.appender.try_send(record);
    }
}
