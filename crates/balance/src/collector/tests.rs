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

/// Guards against live instances that a new collector takes for dead before they know of it.
#[test]
fn view_counts_silence_from_start_of_duty() {
    let (members, mut collector) = start();
    collector.view(&members, START);
    collector.record_report(member(2).peer_addr, false, START.plus_ms(900));
    let view = collector.view(&members, START.plus_ms(700));
    assert_eq!(heard(&members, &view), [0, 1, 2, 3]);
    collector.view(&members, START.plus_ms(1_200));
    let view = collector.view(&members, START.plus_ms(1_700));
    assert_eq!(heard(&members, &view), [0, 2]);
}

/// Guards against a collector that was paused and takes all others for dead when it goes on.
#[test]
fn view_after_pause_keeps_instances() {
    let (members, mut collector) = start();
    collector.view(&members, START);
    let view = collector.view(&members, START.plus_ms(8_000));
    assert_eq!(heard(&members, &view), [0, 1, 2, 3]);
    collector.view(&members, START.plus_ms(8_400));
    collector.view(&members, START.plus_ms(8_800));
    collector.view(&members, START.plus_ms(9_200));
    let view = collector.view(&members, START.plus_ms(9_800));
    assert_eq!(heard(&members, &view), [0]);
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
