use super::*;

const START: Time = Time(5_000_000);

fn member(index: usize, incarnation: u64) -> Member {
    let addr = format!("10.0.0.{}:7000", index + 1).parse().unwrap();
    Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation,
        revision: 0,
        zone: Zone::new(["a", "b", "c"][index % 3]),
        caller_addr: addr,
        peer_addr: addr,
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: 1_000,
        last_heard: None,
    }
}

/// Returns the members as instance 99 knows them, which has heard from instances 0 to `count`.
fn members(count: usize) -> Members {
    let mut members = Members::new(member(99, 1));
    for index in 0..count {
        members.record_heard(member(index, 1), START);
    }
    members
}

fn live(members: &Members) -> Vec<usize> {
    let names = members.live().map(|m| m.name.as_str().to_owned());
    names.map(|n| n["edge-".len()..].parse().unwrap()).collect()
}

/// Returns the view of a collector with the same roster that has reports from `heard`.
fn view(members: &Members, heard: &[usize]) -> LiveView {
    let addrs: Vec<SocketAddr> = heard.iter().map(|n| member(*n, 1).peer_addr).collect();
    let roster = members.roster();
    let live = roster.map(|m| addrs.contains(&m.peer_addr));
    LiveView::new(members.fingerprint(), live)
}

/// Guards against callers that are sent to an instance from which no collector has reports.
#[test]
fn ready_needs_word_of_collector() {
    let mut members = members(3);
    let collector = member(0, 1).peer_addr;
    for ms in [400, 800, 1_200] {
        let view = view(&members, &[0, 1, 99]);
        assert!(members.record_view(collector, &view, START.plus_ms(ms)));
    }
    assert_eq!(live(&members), [0, 1]);
    assert_eq!(members.ready().len(), 2);
}

/// Guards against instances that count as dead because one of the collectors does not hear them.
#[test]
fn word_of_any_collector_suffices() {
    let mut members = members(3);
    for ms in [400, 800, 1_200, 1_600, 2_000] {
        let now = START.plus_ms(ms);
        let (one, other) = (view(&members, &[0, 1]), view(&members, &[0, 2]));
        members.record_view(member(0, 1).peer_addr, &one, now);
        members.record_view(member(1, 1).peer_addr, &other, now);
    }
    assert_eq!(live(&members), [0, 1, 2]);
}

/// Guards against an instance that is cut off from all others and takes them all for dead.
#[test]
fn view_stays_without_word() {
    let mut members = members(9);
    members.record_view(member(0, 1).peer_addr, &view(&members, &[0, 1, 2]), START);
    for step in 1..4 {
        members.sweep(START.plus_ms(400 * step));
    }
    assert_eq!(live(&members).len(), 9);
}

/// Guards against bits of a view that are taken for those of other instances.
#[test]
fn view_of_other_roster_is_not_applied() {
    let mut members = members(3);
    let mut other = members.clone();
    other.record_heard(member(7, 1), START);
    let now = START.plus_ms(2_000);
    let unknown = view(&other, &[0, 7]);
    assert!(!members.record_view(member(0, 1).peer_addr, &unknown, now));
    assert_eq!(live(&members), [0, 1, 2]);
    assert_eq!(members.roster_source(false, now.plus_ms(1_000)), None);
    members.record_view(member(0, 1).peer_addr, &unknown, now.plus_ms(2_000));
    let source = members.roster_source(false, now.plus_ms(2_000));
    assert_eq!(source, Some(member(0, 1).peer_addr));
}

#[test]
fn ready_leaves_out_leaving() {
    let mut members = members(0);
    let leaving = Member {
        presence: Presence::Leaving,
        revision: 1,
        ..member(0, 1)
    };
    members.record_heard(leaving, START);
    assert!(members.ready().is_empty() && members.active_names().is_empty());
}

/// Guards against news that arrives late and brings back an earlier state of an instance.
#[test]
fn record_named_ignores_earlier_description() {
    let mut members = members(0);
    let leaving = Member {
        presence: Presence::Leaving,
        revision: 3,
        ..member(0, 2)
    };
    members.record_heard(leaving.clone(), START);
    assert!(!members.record_named(member(0, 1), START));
    assert!(!members.record_named(member(0, 2), START));
    assert!(members.ready().is_empty());
    assert!(members.record_named(member(0, 3), START));
    assert_eq!(members.ready().len(), 1);
}

/// Guards against instances that never become members because only their addresses are known.
#[test]
fn named_addresses_are_tried_until_known() {
    let (own, other) = (member(99, 1).peer_addr, member(0, 1).peer_addr);
    let mut unheard = members(0);
    unheard.add_addresses([other, own]);
    assert_eq!(unheard.addresses_to_try(), [other]);
    unheard.record_heard(member(0, 1), START);
    assert!(unheard.addresses_to_try().is_empty());
    let mut unanswered = members(0);
    unanswered.add_addresses([other]);
    let tries = (0..10)
        .filter(|_| !unanswered.addresses_to_try().is_empty())
        .count();
    assert_eq!(
        tries, 3,
        "an address that never answers is dropped after 3 tries"
    );
}

/// Guards against a paused process that takes the collectors for dead when it goes on, before it has
/// read what they sent meanwhile.
#[test]
fn sweep_after_pause_drops_nobody() {
    let mut members = members(6);
    members.record_view(
        member(0, 1).peer_addr,
        &view(&members, &[0, 1, 2, 3, 4, 5]),
        START,
    );
    members.sweep(START);
    members.receivers(START);
    let later = START.plus_ms(5_000);
    members.sweep(later);
    members.receivers(later);
    members.sweep(later.plus_ms(400));
    assert_eq!(live(&members).len(), 6);
}

/// Guards against reports that go on to collectors that have ended.
#[test]
fn receivers_without_digest_are_replaced() {
    let mut members = members(9);
    members.record_view(
        member(0, 1).peer_addr,
        &view(&members, &[0, 1, 2, 3, 4, 5, 6, 7, 8]),
        START,
    );
    let mut asked: HashSet<SocketAddr> = HashSet::new();
    for step in 0..20 {
        let now = START.plus_ms(step * 400);
        members.sweep(now);
        asked.extend(members.receivers(now));
    }
    assert_eq!(asked.len(), 9, "all are tried in turn");
}

fn ranks(duty: &str) -> Vec<usize> {
    let rank = |own: usize| {
        let mut members = Members::new(member(own, 1));
        for index in (0..16).filter(|n| *n != own) {
            members.record_heard(member(index, 1), START);
        }
        members.duty_rank(duty)
    };
    (0..16).map(rank).collect()
}

/// Guards against duties whose first instances are all lost with one zone.
#[test]
fn duty_rank_takes_zones_in_turn() {
    for duty in [COLLECT, "entries", "orders"] {
        let mut ranked: Vec<(usize, usize)> = ranks(duty).into_iter().zip(0..).collect();
        ranked.sort_unstable();
        let ranks: Vec<usize> = ranked.iter().map(|(rank, _)| *rank).collect();
        assert_eq!(
            ranks,
            (0..16).collect::<Vec<_>>(),
            "every rank is taken once"
        );
        let mut first: Vec<Zone> = ranked[..3]
            .iter()
            .map(|(_, own)| member(*own, 1).zone)
            .collect();
        first.sort_unstable();
        first.dedup();
        assert_eq!(first.len(), 3, "{duty}: {ranked:?}");
    }
}

/// Returns the rank of an instance among nine others, of which `change` makes some different.
fn rank_among(own: Member, change: impl Fn(usize, Member) -> Member) -> usize {
    let mut members = Members::new(own);
    for index in 0..9 {
        members.record_heard(change(index, member(index, 1)), START);
    }
    members.duty_rank(COLLECT)
}

/// Guards against duties that stay with instances that cannot reach the store.
#[test]
fn duty_rank_puts_instances_without_store_last() {
    let rank = |has_store| {
        let own = Member {
            has_store,
            ..member(99, 1)
        };
        rank_among(own, |index, other| Member {
            has_store: index == 4,
            has_targets: true,
            ..other
        })
    };
    assert!(rank(true) <= 1, "only one other instance reaches the store");
    assert!(rank(false) >= 1);
    let alone = Members::new(Member {
        has_store: false,
        has_targets: true,
        ..member(99, 1)
    });
    assert_eq!(alone.duty_rank(COLLECT), 0);
}

/// Guards against news for all instances that is sent over a slow link although another instance has
/// a fast one, and against duties that all stay with the fast ones of one zone.
#[test]
fn duty_rank_prefers_fast_links() {
    let rank = |link_mbps, has_store| {
        let own = Member {
            link_mbps,
            has_store,
            zone: Zone::new("c"),
            ..member(99, 1)
        };
        rank_among(own, |index, other| Member {
            link_mbps: if index < 2 { 200 } else { 10 },
            ..other
        })
    };
    assert!(rank(200, true) <= 2 && rank(250, true) <= 2);
    assert_eq!(rank(1_000, true), 0);
    assert!(rank(10, true) >= 2);
    assert_eq!(rank(1_000, false), 9, "it cannot reach the store");
}
