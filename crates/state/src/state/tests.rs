//! Guards against snapshots that lose or change a part of the state, and against instances that
//! never catch up after a gap or whose state goes back.

use model::{Code, OperatorName};
use wire::{Body, Record};

use super::*;
use crate::samples::{NOW, code, config, moving, push, push_record, step, text};

fn author() -> OperatorName {
    OperatorName::new("i-1")
}

/// Returns a state whose snapshot takes several records, and the log that led to it.
fn large() -> (State, Vec<String>) {
    let mut state = State::default();
    let mut log = Vec::new();
    for n in 0..40 {
        let comment = format!("# {}\n", "\"x\\".repeat(1_000 + n));
        let doc = comment + &text(&[&format!("s-{n}")], &[]);
        let one = crate::samples::record(&format!("p-{n}"), config(&format!("t-{n}"), 0, &doc));
        assert!(push_record(&mut state, &one).is_accepted());
        log.push(one.encode().unwrap());
    }
    (state, log)
}

fn lines(records: &[Record]) -> Vec<String> {
    records.iter().map(|r| r.encode().unwrap()).collect()
}

/// Applies `log` from `first` on to its end, as the log reader does.
fn catch_up(state: &mut State, log: &[String], first: u64) {
    for _ in 0..10 * log.len() {
        let offset = state.next_offset().max(first);
        let Some(data) = log.get(usize::try_from(offset).unwrap() - 1) else {
            return;
        };
        state.apply(offset, data);
    }
    panic!("the reader never reaches the end of the log");
}

#[test]
fn snapshot_and_tail_equal_everything() {
    let (mut state, mut log) = large();
    let records = state.snapshot(&author(), NOW);
    assert!(records.len() > 2, "{} parts", records.len());
    // One record comes between the covered records and the parts, and one after the parts.
    let more =
        |n: u64| crate::samples::record(&format!("q-{n}"), config("new", n, &text(&["n"], &[])));
    log.push(more(0).encode().unwrap());
    log.extend(lines(&records));
    log.push(more(41).encode().unwrap());
    catch_up(&mut state, &log, 1);
    let mut other = State::default();
    catch_up(&mut other, &log, 30);
    assert!(!other.is_behind());
    assert_eq!(other.fold(), state.fold());
    assert_eq!(
        other.fold().tenants[&"new".into()].revision,
        log.len() as u64
    );
    let json = |s: &State| serde_json::to_string(s.fold()).unwrap();
    assert_eq!(json(&other), json(&state));
}

#[test]
fn snapshot_duplicate_interleaved_and_lost_parts() {
    let (mut state, mut log) = large();
    let first = lines(&state.snapshot(&author(), NOW));
    push(&mut state, "q-1", config("new", 0, &text(&["n"], &[])));
    log.push("noise".to_owned());
    state = State::default();
    catch_up(&mut state, &log, 1);
    let second = lines(&state.snapshot(&author(), NOW));
    // The first snapshot loses a part. Both are appended twice, with their parts interleaved.
    for _ in 0..2 {
        for (n, (a, b)) in first.iter().zip(&second).enumerate() {
            log.extend((n != 1).then(|| a.clone()));
            log.push(b.clone());
        }
    }
    let mut other = State::default();
    catch_up(&mut other, &log, 41);
    catch_up(&mut state, &log, 1);
    assert_eq!(other.fold(), state.fold());
    assert!(!other.is_behind());
}

#[test]
fn snapshot_with_changed_part_is_refused() {
    let (state, mut log) = large();
    let good = state.snapshot(&author(), NOW);
    let mut bad = good.clone();
    if let Body::Snapshot { data, .. } = &mut bad[1].body {
        *data = data.replace("s-1", "s-x");
    }
    log.extend(lines(&bad));
    let mut other = State::default();
    catch_up(&mut other, &log, 41);
    assert!(other.is_behind());
    assert_eq!(other.offset(), 0);
    log.extend(lines(&good));
    catch_up(&mut other, &log, 41);
    assert_eq!(other.fold().tenants, state.fold().tenants);
}

#[test]
fn snapshot_impossible_parts() {
    let mut state = moving();
    let part = |covers, part, parts| Body::Snapshot {
        covers,
        part,
        parts,
        sha256: "0".repeat(64),
        data: "x".to_owned(),
    };
    for body in [
        part(1, 3, 3),
        part(1, 0, 0),
        part(9, 0, 1),
        part(1, 0, u32::MAX),
        part(1, 0, 1),
    ] {
        assert_eq!(code(&mut state, "s", body), Code::SnapshotIncomplete);
    }
    assert_eq!(state.assembly_bytes(), 0);
}

#[test]
fn snapshot_incomplete_ones_bounded() {
    let mut state = State::default();
    for n in 0..100_u64 {
        let body = Body::Snapshot {
            covers: n,
            part: 0,
            parts: 200,
            sha256: format!("{n:064x}"),
            data: "x".repeat(60_000),
        };
        assert_eq!(code(&mut state, "s", body), Code::Accepted);
    }
    assert!(state.assembly_bytes() <= 4 * 60_000);
}

#[test]
fn snapshot_due_after_512_records() {
    let mut state = State::default();
    let live: Vec<InstanceId> = (0..16)
        .map(|n| InstanceId::new(&format!("i-{n}")))
        .collect();
    for n in 0..512 {
        assert!(!state.is_snapshot_due());
        assert_eq!(state.snapshot_wait_ms(&live[0], &live), None);
        push(&mut state, &format!("p-{n}"), config("a", 9, ""));
    }
    let mut waits: Vec<u64> = live
        .iter()
        .map(|me| state.snapshot_wait_ms(me, &live).unwrap())
        .collect();
    waits.sort_unstable();
    assert!(waits[0] < 1_000 && waits.windows(2).all(|w| w[1] > w[0] + 1_000));
    for record in state.snapshot(&author(), NOW) {
        push_record(&mut state, &record);
    }
    assert!(!state.is_snapshot_due());
}

#[test]
fn apply_old_offset_changes_nothing() {
    let mut state = moving();
    push(&mut state, "a", step(0, 100));
    let before = state.fold().clone();
    let line = crate::samples::record("b", step(100, 500))
        .encode()
        .unwrap();
    assert_eq!(state.apply(2, &line).code, Code::Repeated);
    assert_eq!(state.apply(1, "noise").code, Code::Repeated);
    assert_eq!(*state.fold(), before);
}

#[test]
fn apply_gap_waits_and_peers_can_fill_it() {
    let (mut state, log) = large();
    let mut other = State::default();
    catch_up(&mut other, &log[..20], 1);
    let before = other.fold().clone();
    assert_eq!(other.apply(30, &log[29]).code, Code::Expired);
    assert!(other.is_behind());
    assert_eq!((other.next_offset(), other.fold()), (31, &before));
    assert!(other.apply(21, &log[20]).is_accepted());
    assert_eq!((other.is_behind(), other.next_offset()), (false, 22));
    let records = state.snapshot(&author(), NOW);
    assert_eq!(
        other.adopt_snapshot(&records[1..]).code,
        Code::SnapshotIncomplete
    );
    assert_eq!(other.adopt_snapshot(&records).code, Code::Accepted);
    assert_eq!(other.fold(), state.fold());
    push(&mut state, "q", config("t-0", 0, ""));
    assert_eq!(state.adopt_snapshot(&records).code, Code::Repeated);
    assert_eq!(state.offset(), 41);
}

/// A snapshot that covers only a part of the missed records would give a state that lacks the others.
#[test]
fn apply_gap_not_closed_by_older_snapshot() {
    let mut state = moving();
    let old = lines(&state.snapshot(&author(), NOW));
    push(&mut state, "a", step(0, 100));
    push(&mut state, "b", step(100, 500));
    let new = lines(&state.snapshot(&author(), NOW));
    let mut other = State::default();
    // The log dropped offsets 1 and 2, and later 4 and 5.
    assert_eq!(other.apply(3, &old[0]).code, Code::Expired);
    assert_eq!(other.apply(6, &new[0]).code, Code::Expired);
    assert_eq!((other.offset(), other.next_offset()), (0, 7));
    let mut other = State::default();
    assert_eq!(other.apply(4, &new[0]).code, Code::Accepted);
    assert_eq!((other.offset(), other.next_offset()), (3, 4));
}

#[test]
fn snapshot_incomplete_dropped_when_covered() {
    let (mut state, _) = large();
    let first = state.snapshot(&author(), NOW);
    push_record(&mut state, &first[0]);
    assert!(state.assembly_bytes() > 0);
    for record in state.snapshot(&author(), NOW) {
        push_record(&mut state, &record);
    }
    assert_eq!(state.assembly_bytes(), 0);
}

/// Guards the check that a configuration never goes back: the test sets a later revision as the one
/// in force, and applying a document then has to panic.
#[test]
#[should_panic(expected = "9010")]
fn apply_document_older_than_the_one_in_force() {
    let mut state = State::default();
    push(&mut state, "p-1", config("t", 0, &text(&["orders"], &[])));
    let tenant = state.fold.tenants.get_mut(&"t".into()).unwrap();
    tenant.revision = 100;
    push(&mut state, "p-2", config("t", 100, &text(&["orders"], &[])));
}
