use model::{InstanceId, Zone};

use super::*;
use crate::Presence;

const START: Time = Time(5_000_000);

fn member(index: u8) -> Member {
    let addr = SocketAddr::from(([10, 0, 0, index], 7_000));
    Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation: 1,
        revision: 0,
        zone: Zone::new("a"),
        caller_addr: addr,
        peer_addr: addr,
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: 1_000,
        last_heard: None,
    }
}

fn start() -> (Members, Collector) {
    let mut members = Members::new(member(0));
    let mut collector = Collector::default();
    for index in 1..4 {
        members.record_heard(member(index), START);
    }
    assert!(collector.update_duty(true, &members, START));
    (members, collector)
}

fn heard(members: &Members, view: &LiveView) -> Vec<usize> {
    (0..members.roster().count())
        .filter(|index| view.is_live(*index))
        .collect()
}

/// Returns which members the view names that is sent `ms` after the start.
fn view(collector: &mut Collector, members: &Members, ms: u64) -> Vec<usize> {
    let view = collector.view(members, START.plus_ms(ms));
    heard(members, &view.expect("there is a view"))
}

/// Guards against live instances that a new collector takes for dead before they know of it.
#[test]
fn view_counts_silence_from_start_of_duty() {
    let (members, mut collector) = start();
    collector.view(&members, START);
    collector.record_report(member(2).peer_addr, false, START.plus_ms(900));
    assert_eq!(view(&mut collector, &members, 700), [0, 1, 2, 3]);
    collector.view(&members, START.plus_ms(1_200));
    assert_eq!(view(&mut collector, &members, 1_700), [0, 2]);
}

/// Guards against a collector that was paused for a moment and takes all others for dead.
#[test]
fn view_after_short_pause_keeps_instances() {
    let (members, mut collector) = start();
    collector.view(&members, START);
    assert_eq!(view(&mut collector, &members, 1_600), [0, 1, 2, 3]);
    for ms in [2_000, 2_400] {
        collector.view(&members, START.plus_ms(ms));
    }
    assert_eq!(view(&mut collector, &members, 2_900), [0]);
}

/// Guards against a collector that was paused for long and takes all others for dead when it goes on,
/// or vouches for those that have ended meanwhile.
#[test]
fn view_after_pause_names_those_heard_since() {
    let (members, mut collector) = start();
    collector.view(&members, START);
    assert!(collector.view(&members, START.plus_ms(8_000)).is_none());
    // A report that has waited in the socket during the pause.
    collector.record_report(member(1).peer_addr, false, START.plus_ms(100));
    collector.record_report(member(2).peer_addr, false, START.plus_ms(8_200));
    assert!(collector.view(&members, START.plus_ms(8_400)).is_none());
    collector.record_report(member(3).peer_addr, false, START.plus_ms(8_500));
    assert_eq!(view(&mut collector, &members, 8_800), [0, 2, 3]);
    for ms in [9_200, 9_600] {
        collector.view(&members, START.plus_ms(ms));
    }
    assert_eq!(view(&mut collector, &members, 9_900), [0, 3]);
}

#[test]
fn take_news_repeats_each_change_once() {
    let (_, mut collector) = start();
    let addr = member(1).peer_addr;
    collector.record_report(addr, true, START);
    assert_eq!(collector.take_news(), [addr]);
    assert_eq!(collector.take_news(), [addr]);
    assert!(collector.take_news().is_empty());
}

/// Guards against reports that nobody takes while the instances learn of a change of collectors.
#[test]
fn update_duty_ends_after_handover() {
    let (members, mut collector) = start();
    assert!(collector.update_duty(false, &members, START.plus_ms(1_900)));
    assert!(!collector.update_duty(false, &members, START.plus_ms(2_100)));
}
