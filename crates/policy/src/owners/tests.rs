//! Guards against instances that compute different owners, and against a service that loses all its
//! owners when one zone fails.

use super::*;

fn live(count: usize) -> Vec<(InstanceId, Zone, Region)> {
    let zone = |i: usize| Zone::new(["a", "b", "c"][i % 3]);
    let entry = |i: usize| {
        (
            InstanceId::new(&format!("i-{i}")),
            zone(i),
            Region::new("r1"),
        )
    };
    (0..count).map(entry).collect()
}

#[test]
fn home_instances_one_in_each_zone() {
    let all = live(16);
    let owners = owner_instances(&"orders".into(), &"r1".into(), &all);
    let mut zones: Vec<&Zone> = owners
        .iter()
        .map(|o| &all.iter().find(|(i, _, _)| i == o).unwrap().1)
        .collect();
    zones.sort();
    assert_eq!(zones, [&Zone::new("a"), &Zone::new("b"), &Zone::new("c")]);
}

#[test]
fn home_instances_independent_of_order() {
    let mut all = live(16);
    let before = owner_instances(&"orders".into(), &"r1".into(), &all);
    all.reverse();
    assert_eq!(
        owner_instances(&"orders".into(), &"r1".into(), &all),
        before
    );
}

#[test]
fn home_instances_two_in_one_zone() {
    let one: Vec<_> = live(16)
        .into_iter()
        .filter(|(_, z, _)| z.as_str() == "a")
        .collect();
    assert_eq!(
        owner_instances(&"orders".into(), &"r1".into(), &one).len(),
        2
    );
}

#[test]
fn owner_of_moves_only_lost_targets() {
    let all = live(16);
    let owners = owner_instances(&"orders".into(), &"r1".into(), &all);
    let zone_of = |id: &InstanceId| {
        all.iter()
            .find(|(i, _, _)| i == id)
            .map(|(_, z, _)| z.clone())
    };
    let lost = &owners[0];
    let kept: Vec<_> = owners[1..].to_vec();
    for n in 0..25 {
        let target = TargetId::new(&format!("t-{n}"));
        let zone = Zone::new(["a", "b", "c"][n % 3]);
        let before = owner_of(&target, &zone, &owners, zone_of).unwrap();
        let after = owner_of(&target, &zone, &kept, zone_of).unwrap();
        assert!(
            before == *lost || before == after,
            "target {n} changed its owner although that is still alive"
        );
    }
}
