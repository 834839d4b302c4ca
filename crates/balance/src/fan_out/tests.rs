use std::collections::BTreeSet;

use model::{InstanceId, Time, Zone};

use super::*;
use crate::Presence;

fn member(index: usize) -> Member {
    let addr: SocketAddr = format!("10.1.{}.{}:7660", index / 200, index % 200)
        .parse()
        .unwrap();
    Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation: 1,
        revision: 0,
        zone: Zone::new(["a", "b", "c"][index % 3]),
        caller_addr: addr,
        peer_addr: addr,
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: 1_000,
        last_heard: Some(Time(index as u64)),
    }
}

fn groups(count: usize, duration_us: u64) -> Vec<FanOut> {
    let members: Vec<Member> = (0..count).map(member).collect();
    FanOut::groups(members.iter().collect(), duration_us)
}

/// Guards against instances that a datagram for all does not reach, or reaches twice.
#[test]
fn groups_contain_every_instance_once() {
    for count in [0, 1, 2, 15, 102, 300] {
        let groups = groups(count, 3_000);
        let addrs = groups
            .iter()
            .flat_map(|g| g.others.iter().chain([&g.relay]));
        let addrs: Vec<&SocketAddr> = addrs.collect();
        assert_eq!(addrs.len(), count);
        assert_eq!(addrs.iter().collect::<BTreeSet<_>>().len(), count);
    }
}

/// Guards against news that takes a third of a second for each datagram on a slow link.
#[test]
fn groups_of_hundred_are_sent_in_parallel() {
    let groups = groups(102, 3_000);
    let longest = groups.iter().map(|g| g.others.len()).max().unwrap();
    assert!(
        groups.len() + longest <= 22,
        "{} and {longest}",
        groups.len()
    );
}

#[test]
fn groups_of_few_on_fast_link_need_no_relay() {
    let groups = groups(24, 30);
    assert_eq!(groups.len(), 24);
    assert!(groups.iter().all(|g| g.others.is_empty()));
}

/// Guards against copies of a datagram that all cross zones, each of which costs money.
#[test]
fn groups_of_many_cross_zones_rarely() {
    let groups = groups(471, 30);
    let longest = groups.iter().map(|g| g.others.len()).max().unwrap();
    assert!(
        groups.len() + longest <= 46,
        "{} and {longest}",
        groups.len()
    );
}

/// Guards against a relay that has ended or is about to end, whose group gets nothing.
#[test]
fn groups_relay_is_heard_last_and_stays() {
    let mut members: Vec<Member> = (0..40).map(member).collect();
    members[39].presence = Presence::Leaving;
    for group in FanOut::groups(members.iter().collect(), 3_000) {
        let find = |addr: &SocketAddr| members.iter().find(|m| m.peer_addr == *addr).unwrap();
        let relay = find(&group.relay);
        assert_eq!(relay.presence, Presence::Ready);
        for other in group.others.iter().map(find) {
            let is_later = other.last_heard > relay.last_heard;
            assert!(!is_later || other.presence == Presence::Leaving);
        }
    }
}
