use model::TargetId;

use super::*;

fn gone(offset: u64) -> (u64, EntryChange) {
    (
        offset,
        EntryChange::Gone(TargetId::new(&format!("i-{offset}"))),
    )
}

fn offsets(log: &EntryLog, from: u64) -> (u64, Vec<u64>) {
    let (from, changes) = log.since(from);
    (from, changes.into_iter().map(|(o, _)| o).collect())
}

/// Guards against one lost datagram that makes every receiver read the store: an update that begins
/// where the previous one did carries its changes as well.
#[test]
fn since_carries_changes_of_all_sources() {
    let mut log = EntryLog::default();
    log.extend(10, [gone(3)]);
    log.extend(14, [gone(11), gone(13)]);
    log.extend(20, [gone(12), gone(13), gone(15)]);
    assert_eq!(log.next(), Some(20));
    assert_eq!(offsets(&log, 10), (10, vec![11, 13, 15]));
    assert_eq!(offsets(&log, 13), (13, vec![13, 15]));
    assert_eq!(
        offsets(&log, 4),
        (10, vec![11, 13, 15]),
        "listed, not followed"
    );
}

/// Guards against a view that goes back to older entries.
#[test]
fn extend_older_end_keeps_next() {
    let mut log = EntryLog::default();
    log.extend(10, []);
    log.extend(8, [gone(9)]);
    assert_eq!(log.next(), Some(10));
    assert_eq!(offsets(&log, 0), (10, vec![]));
}

/// Guards against updates that claim changes which are not kept any more, and against a log that
/// grows without a bound.
#[test]
fn since_dropped_changes_are_not_covered() {
    let mut log = EntryLog::default();
    log.extend(0, []);
    for offset in 0..3_000 {
        log.extend(offset + 1, [gone(offset)]);
    }
    let (from, kept) = offsets(&log, 0);
    assert_eq!(from, 3_000 - MAX_CHANGES as u64);
    assert_eq!(kept.len(), MAX_CHANGES);
    assert_eq!(kept[0], from);
}

/// Guards against a part of the changes that a listing has shown at one offset.
#[test]
fn since_drops_changes_of_one_offset_together() {
    let mut log = EntryLog::default();
    log.extend(0, []);
    log.extend(10, (0..MAX_CHANGES as u64).map(|i| (9, gone(i).1)));
    log.extend(3_001, [gone(3_000)]);
    assert_eq!(offsets(&log, 0), (10, vec![3_000]));
}

/// Guards against updates that grow with each time that a target changes.
#[test]
fn since_carries_latest_change_of_target() {
    let mut log = EntryLog::default();
    log.extend(0, []);
    let id = TargetId::new("i-a");
    log.extend(1, [(0, EntryChange::Draining(id.clone()))]);
    log.extend(3, [gone(1), (2, EntryChange::Gone(id.clone()))]);
    let expected = vec![gone(1), (2, EntryChange::Gone(id))];
    assert_eq!(log.since(0), (0, expected));
}
