use super::*;

fn member(boot: u64, presence: Presence, last_heard: Option<Time>) -> Member {
    Member {
        name: InstanceId::new("a"),
        incarnation: boot,
        zone: Zone::new("z"),
        caller_addr: "10.0.0.1:80".parse().unwrap(),
        peer_addr: "10.0.0.1:7000".parse().unwrap(),
        presence,
        has_store: true,
        link_mbps: 1_000,
        last_heard,
    }
}

const START: Time = Time(5_000_000);

#[test]
fn ready_needs_recent_heartbeat() {
    let mut members = Members::default();
    members.record_report(member(1, Presence::Ready, Some(START)));
    assert_eq!(members.ready(START.plus_ms(1_900)).len(), 1);
    assert!(members.ready(START.plus_ms(2_100)).is_empty());
}

#[test]
fn ready_leaves_out_leaving_and_only_listed() {
    let mut members = Members::default();
    members.add_listed(member(1, Presence::Ready, None));
    assert!(members.ready(START).is_empty());
    members.record_report(member(1, Presence::Leaving, Some(START)));
    assert!(members.ready(START).is_empty() && members.active_names(START).is_empty());
}

#[test]
fn record_report_ignores_earlier_process() {
    let mut members = Members::default();
    members.record_report(member(2, Presence::Ready, Some(START)));
    members.record_report(member(1, Presence::Leaving, Some(START)));
    assert_eq!(members.ready(START).len(), 1);
}

/// Guards against instances that never become members because only other instances reported their
/// addresses.
#[test]
fn reported_addresses_are_tried_until_known() {
    let mut members = Members::default();
    let own = "10.0.0.9:7000".parse().unwrap();
    let other = "10.0.0.1:7000".parse().unwrap();
    members.add_reported_addresses(&[other, own], own);
    assert_eq!(members.addresses_to_try(), [other]);
    members.record_report(member(1, Presence::Ready, Some(START)));
    assert!(members.addresses_to_try().is_empty());
    let mut unanswered = Members::default();
    unanswered.add_reported_addresses(&[other], own);
    let tries = (0..10)
        .filter(|_| !unanswered.addresses_to_try().is_empty())
        .count();
    assert_eq!(
        tries, 3,
        "an address that never answers is dropped after 3 tries"
    );
}

/// Guards against duties whose first instances are all lost with one zone.
#[test]
fn duty_rank_takes_zones_in_turn() {
    let zones = ["a", "b", "c"];
    let names: Vec<String> = (0..16).map(|n| format!("edge-{n}")).collect();
    let zone_of = |n: usize| Zone::new(zones[n % 3]);
    let rank = |own: usize, duty: &str| {
        let mut members = Members::default();
        for (n, name) in names.iter().enumerate().filter(|(n, _)| *n != own) {
            members.record_report(Member {
                name: InstanceId::new(name),
                zone: zone_of(n),
                peer_addr: format!("10.0.0.{}:7000", n + 1).parse().unwrap(),
                ..member(1, Presence::Ready, Some(START))
            });
        }
        let candidate = DutyCandidate {
            name: &InstanceId::new(&names[own]),
            zone: &zone_of(own),
            has_store: true,
            link_mbps: 1_000,
        };
        members.duty_rank(duty, &candidate, START)
    };
    for duty in ["orders", "entries", "rollout orders 1", "rollout orders 2"] {
        let mut ranked: Vec<(usize, usize)> = (0..16).map(|own| (rank(own, duty), own)).collect();
        ranked.sort_unstable();
        let ranks: Vec<usize> = ranked.iter().map(|(rank, _)| *rank).collect();
        assert_eq!(
            ranks,
            (0..16).collect::<Vec<_>>(),
            "every rank is taken once"
        );
        let mut first: Vec<Zone> = ranked[..3].iter().map(|(_, own)| zone_of(*own)).collect();
        first.sort_unstable();
        first.dedup();
        assert_eq!(first.len(), 3, "{duty}: {ranked:?}");
    }
}

/// Guards against duties that stay with instances that cannot reach the store.
#[test]
fn duty_rank_puts_instances_without_store_last() {
    let mut members = Members::default();
    for n in 0..9 {
        members.record_report(Member {
            name: InstanceId::new(&format!("edge-{n}")),
            zone: Zone::new(["a", "b", "c"][n % 3]),
            peer_addr: format!("10.0.0.{}:7000", n + 1).parse().unwrap(),
            has_store: n == 4,
            ..member(1, Presence::Ready, Some(START))
        });
    }
    let (name, zone) = (InstanceId::new("own"), Zone::new("a"));
    let rank = |has_store| {
        let own = DutyCandidate {
            name: &name,
            zone: &zone,
            has_store,
            link_mbps: 1_000,
        };
        members.duty_rank("orders", &own, START)
    };
    assert!(rank(true) <= 1, "only one other instance reaches the store");
    assert!(rank(false) >= 1);
    let later = START.plus_ms(60_000);
    assert_eq!(
        members.duty_rank(
            "orders",
            &DutyCandidate {
                name: &name,
                zone: &zone,
                has_store: false,
                link_mbps: 1_000
            },
            later
        ),
        0
    );
}

/// Guards against news for all instances that is sent over a slow link although another instance has
/// a fast one, and against duties that all stay with the fast ones of one zone.
#[test]
fn duty_rank_prefers_fast_links() {
    let mut members = Members::default();
    for n in 0..9 {
        members.record_report(Member {
            name: InstanceId::new(&format!("edge-{n}")),
            zone: Zone::new(["a", "b", "c"][n % 3]),
            peer_addr: format!("10.0.0.{}:7000", n + 1).parse().unwrap(),
            link_mbps: if n < 2 { 200 } else { 10 },
            ..member(1, Presence::Ready, Some(START))
        });
    }
    let rank = |link_mbps, has_store| {
        let own = DutyCandidate {
            name: &InstanceId::new("own"),
            zone: &Zone::new("c"),
            has_store,
            link_mbps,
        };
        members.duty_rank("entries", &own, START)
    };
    assert!(rank(200, true) <= 2 && rank(250, true) <= 2);
    assert_eq!(rank(1_000, true), 0);
    assert!(rank(10, true) >= 2);
    assert_eq!(rank(1_000, false), 9, "it cannot reach the store");
}
