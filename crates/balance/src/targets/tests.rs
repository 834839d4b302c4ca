use model::{Version, Zone};

use super::*;

fn entry(id: &str, born: u64) -> TargetEntry {
    TargetEntry {
        id: TargetId::new(id),
        service: ServiceName::new("s"),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::new("z"),
        version: Version::new("v1"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born,
    }
}

const NOW: Time = Time(10_000_000);

/// Guards against services that another writer names once and that stay in memory.
#[test]
fn remove_last_target_forgets_service() {
    let mut targets = Targets::default();
    targets.put(entry("i-1", 1), NOW);
    for index in 0..100 {
        let service = ServiceName::new(&format!("odd-{index}"));
        targets.put(
            TargetEntry {
                service,
                ..entry("odd", 1)
            },
            NOW,
        );
    }
    assert_eq!((targets.len(), targets.services.len()), (2, 2));
    targets.remove(&TargetId::new("odd"), NOW);
    assert_eq!((targets.len(), targets.services.len()), (1, 1));
}

#[test]
fn missing_entry_removes_target_at_once() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    assert!(targets.handle_missing(&TargetId::new("a"), NOW));
    assert!(targets.is_empty());
}

#[test]
fn missing_entry_after_outage_keeps_target_for_a_while() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.record_store_return(NOW);
    let (changed, missing) = targets.replace_all(vec![], NOW);
    assert!(changed.is_empty() && missing == [TargetId::new("a")]);
    assert_eq!(targets.len(), 1);
    assert!(!targets.sweep(NOW.plus_ms(1_900)));
    assert_eq!(targets.len(), 1);
    assert!(
        targets.sweep(NOW.plus_ms(2_000)),
        "a target whose entry is missing is removed after 2 s"
    );
}

/// Guards against readers that do not report to their peers what a complete listing changed.
#[test]
fn replace_all_returns_changes() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.put(entry("b", 1), NOW);
    let restarted = entry("b", 2);
    let (changed, missing) = targets.replace_all(vec![restarted.clone(), entry("c", 1)], NOW);
    assert_eq!(changed, [restarted, entry("c", 1)]);
    assert_eq!(missing, [TargetId::new("a")]);
}

#[test]
fn put_after_lapse_keeps_target() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.record_store_return(NOW);
    targets.handle_missing(&TargetId::new("a"), NOW);
    assert!(
        targets.put(entry("a", 1), NOW.plus_ms(500)),
        "a target that is back must be reported as a change"
    );
    assert!(!targets.sweep(NOW.plus_ms(3_000)));
}

#[test]
fn put_restarted_target_resets_state() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.get_mut(&TargetId::new("a")).unwrap().in_flight = 3;
    assert!(targets.put(entry("a", 2), NOW));
    assert_eq!(targets.get(&TargetId::new("a")).unwrap().in_flight, 0);
    assert_eq!(targets.len(), 1);
}

#[test]
fn put_unchanged_entry_changes_nothing() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    assert!(!targets.put(entry("a", 1), NOW));
    let mut draining = entry("a", 1);
    draining.draining = true;
    assert!(targets.put(draining, NOW));
}

/// Guards against targets that are kept although they ended while only this instance was cut off
/// from the store.
#[test]
fn drop_lapsed_after_a_cut_of_this_instance() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.record_store_return(NOW);
    targets.handle_missing(&TargetId::new("a"), NOW);
    assert_eq!(targets.drop_lapsed(NOW), 1);
    targets.put(entry("a", 1), NOW);
    assert!(
        targets.handle_missing(&TargetId::new("a"), NOW),
        "without an outage, a missing entry removes the target at once"
    );
}

/// Guards against many leaving targets that need one datagram for each few of them.
#[test]
fn shorten_only_draining() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    let draining = TargetEntry {
        draining: true,
        cold_ms: 500,
        ..entry("a", 1)
    };
    let id = TargetId::new("a");
    assert_eq!(
        targets.shorten(EntryChange::Put(draining.clone())),
        EntryChange::Draining(id.clone())
    );
    let restarted = EntryChange::Put(TargetEntry {
        born: 2,
        ..draining.clone()
    });
    assert_eq!(targets.shorten(restarted.clone()), restarted);
    assert!(targets.start_draining(&id) && !targets.start_draining(&id));
    let known = EntryChange::Put(draining);
    assert_eq!(targets.shorten(known.clone()), known);
}

/// Guards against requests to a target that has left, whose entry is back with an earlier copy of the
/// store, and against a live target that is left out for good.
#[test]
fn restored_entry_of_removed_target_is_held() {
    let mut targets = Targets::default();
    targets.put(entry("a", 1), NOW);
    targets.put(entry("b", 1), NOW);
    targets.handle_missing(&TargetId::new("a"), NOW);
    targets.handle_missing(&TargetId::new("b"), NOW);
    targets.record_restore(NOW.plus_ms(1_000));
    let listed = vec![entry("a", 1), entry("b", 1), entry("c", 1)];
    targets.replace_all(listed, NOW.plus_ms(1_100));
    assert_eq!(targets.len(), 1);
    targets.handle_missing(&TargetId::new("a"), NOW.plus_ms(3_000));
    targets.sweep(NOW.plus_ms(6_900));
    assert_eq!(targets.len(), 1);
    targets.sweep(NOW.plus_ms(7_000));
    assert!(targets.get(&TargetId::new("a")).is_none());
    assert!(targets.get(&TargetId::new("b")).is_some());
}

/// Guards against a target that is left out because an earlier process of the same name was removed,
/// or although it has written its entry again.
#[test]
fn restored_entry_of_live_target_counts() {
    let mut targets = Targets::default();
    for id in ["a", "b"] {
        targets.put(entry(id, 1), NOW);
        targets.handle_missing(&TargetId::new(id), NOW);
    }
    targets.record_restore(NOW);
    targets.replace_all(vec![entry("a", 2), entry("b", 1)], NOW);
    assert!(targets.get(&TargetId::new("a")).is_some());
    assert!(targets.get(&TargetId::new("b")).is_none());
    targets.put(entry("b", 1), NOW);
    assert!(targets.get(&TargetId::new("b")).is_some());
}

/// Guards against a target that leaves and gets requests again when an older entry of it comes back.
#[test]
fn put_older_entry_keeps_draining() {
    let mut targets = Targets::default();
    let mut draining = entry("a", 1);
    draining.draining = true;
    targets.put(draining, NOW);
    targets.put(entry("a", 1), NOW);
    assert!(targets.get(&TargetId::new("a")).unwrap().entry.draining);
    targets.put(entry("a", 2), NOW);
    assert!(!targets.get(&TargetId::new("a")).unwrap().entry.draining);
}
