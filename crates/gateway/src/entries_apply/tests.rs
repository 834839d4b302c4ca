use super::*;
use crate::example::{state, update};

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 36], 7_660))
}

/// Guards against instances that lose the second datagram of an update, consider their entries
/// current all the same, and send requests to targets that have left.
#[test]
fn take_part_first_half_is_not_current() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    apply_update(&state, peer(), update(4, 10, 20), state.now());
    assert_eq!(state.entries_as_of.get(), None);
    assert!(state.entries_gap.get().is_some(), "the rest is awaited");
    apply_update(&state, peer(), update(10, 15, 20), state.now());
    assert_eq!(state.entries_next(), Some(15));
    assert_eq!(state.entries_as_of.get(), None);
    apply_update(&state, peer(), update(15, 20, 20), state.now());
    assert!(state.entries_as_of.get().is_some());
    assert_eq!(state.entries_gap.get(), None);
}

#[test]
fn apply_update_ahead_leaves_gap() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    apply_update(&state, peer(), update(12, 14, 14), state.now());
    assert_eq!(state.entries_next(), Some(10));
    assert!(state.entries_gap.get().is_some());
    apply_update(&state, peer(), update(8, 11, 11), state.now());
    assert!(
        state.entries_gap.get().is_some(),
        "record 11 is missing still"
    );
    assert_eq!(state.entries_next(), Some(11));
    apply_update(&state, peer(), update(11, 12, 12), state.now());
    assert_eq!(state.entries_next(), Some(14));
    assert_eq!(state.entries_gap.get(), None);
}

/// Guards against an update that waited on its way and makes old entries count as current, or sets
/// the age of newer ones back.
#[test]
fn apply_update_keeps_latest_time() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    let (early, late) = (Time(1_000), Time(2_000));
    apply_update(&state, peer(), update(4, 12, 12), late);
    apply_update(&state, peer(), update(4, 11, 11), early);
    assert_eq!(state.entries_as_of.get(), Some(late));
    apply_update(&state, peer(), update(4, 11, 11), Time(3_000));
    assert_eq!(
        state.entries_as_of.get(),
        Some(Time(3_000)),
        "there was nothing after 11 at that time, and 11 is known"
    );
    assert_eq!(state.entries_next(), Some(12));
}

/// Guards against targets that are told to drain in the short form and still get requests.
#[test]
fn apply_update_draining_target() {
    let state = state(1_000.0);
    let entry: TargetEntry = TargetEntry {
        id: TargetId::new("i-1"),
        service: model::ServiceName::new("orders"),
        addr: "10.1.64.1:8505".parse().unwrap(),
        zone: model::Zone::new("a"),
        version: model::Version::new("v1"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born: 1,
    };
    state.entries.borrow_mut().extend(1, []);
    state.targets.borrow_mut().put(entry.clone(), state.now());
    let draining = EntriesUpdate {
        changes: vec![(1, EntryChange::Draining(entry.id.clone()))],
        ..update(1, 2, 2)
    };
    apply_update(&state, peer(), draining, state.now());
    let targets = state.targets.borrow();
    assert!(targets.get(&entry.id).unwrap().entry.draining);
}

/// Guards against instances that all read the store because the datagrams of one update overtook each
/// other.
#[test]
fn update_parts_in_any_order_are_applied() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    let part = |from: u64| EntriesUpdate {
        changes: (from..from + 10)
            .map(|offset| {
                (
                    offset,
                    EntryChange::Gone(TargetId::new(&format!("i-{offset}"))),
                )
            })
            .collect(),
        ..update(from, from + 10, 50)
    };
    let peer = SocketAddr::from(([10, 1, 0, 36], 7_660));
    for from in [20, 40, 30, 10] {
        apply_update(&state, peer, part(from), state.now());
    }
    assert_eq!(state.entries_next(), Some(50));
    assert_eq!(state.entries_gap.get(), None);
    assert!(state.entries_as_of.get().is_some());
    assert_eq!(state.entries.borrow().since(10).1.len(), 40);
    assert!(state.early_updates.borrow().is_empty());
}

/// Guards against versions that another writer changes again and again and that fill the memory, and
/// against a version in use that is forgotten meanwhile.
#[test]
fn versions_without_targets_are_bounded() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(0, []);
    let entry = |id: &str, version: &str| TargetEntry {
        id: TargetId::new(id),
        service: model::ServiceName::new("orders"),
        addr: "10.1.64.1:8505".parse().unwrap(),
        zone: model::Zone::new("a"),
        version: model::Version::new(version),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born: 1,
    };
    put(&state, &entry("i-1", "used"), 0);
    let used = (entry("i-1", "used").service, entry("i-1", "used").version);
    let first_seen = state.versions_seen.borrow()[&used];
    for index in 0..5_000 {
        put(&state, &entry("odd", &format!("v{index}")), index);
    }
    let versions = state.versions_seen.borrow();
    assert!(versions.len() <= MAX_VERSIONS, "{}", versions.len());
    assert_eq!(versions[&used], first_seen);
}

/// Guards against parts of an update that stay for ever, or fill the memory, after one was lost.
#[test]
fn early_updates_are_bounded() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    let peer = SocketAddr::from(([10, 1, 0, 36], 7_660));
    for from in 100..400 {
        apply_update(&state, peer, update(from, from + 1, 500), state.now());
    }
    assert_eq!(state.early_updates.borrow().len(), MAX_EARLY);
    apply_update(&state, peer, update(10, 500, 500), state.now());
    assert!(state.early_updates.borrow().is_empty());
    assert_eq!(state.entries_next(), Some(500));
}
