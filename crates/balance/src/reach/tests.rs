use super::*;

fn service() -> ServiceName {
    ServiceName::new("orders")
}

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("i-{number}"))
}

/// Connections to these targets, of `known`, fail in order at the same moment.
fn fail(reach: &mut Reach, known: usize, numbers: std::ops::Range<usize>) {
    for number in numbers {
        reach.record_unreachable(&service(), &target(number), known, Time(1));
    }
}

#[test]
fn contact_is_lost_after_streak() {
    let mut reach = Reach::default();
    fail(&mut reach, 26, 0..2);
    assert_eq!(reach.contact(&service()), Contact::Reached);
    fail(&mut reach, 26, 2..3);
    assert_eq!(reach.contact(&service()), Contact::Lost);
    assert_eq!(reach.lost().count(), 1);
}

#[test]
fn contact_survives_single_crashes() {
    let mut reach = Reach::default();
    for number in 0..12 {
        fail(&mut reach, 26, number..number + 1);
        reach.record_contact(&service(), &target(20), || 26, Time(1));
    }
    assert_eq!(reach.contact(&service()), Contact::Reached);
}

#[test]
fn contact_is_lost_with_most_targets() {
    let mut reach = Reach::default();
    for number in 0..25 {
        fail(&mut reach, 26, number..number + 1);
        reach.record_contact(&service(), &target(25), || 26, Time(1));
    }
    assert_eq!(reach.contact(&service()), Contact::Lost);
    let mut changes =
        (0..12).filter_map(|n| reach.record_contact(&service(), &target(n), || 26, Time(1)));
    assert_eq!(changes.next(), Some(Contact::Reached));
}

#[test]
fn contact_of_one_target_is_lost_at_once() {
    let mut reach = Reach::default();
    fail(&mut reach, 1, 0..1);
    assert_eq!(reach.contact(&service()), Contact::Lost);
    reach.record_contact(&service(), &target(0), || 1, Time(1));
    assert_eq!(reach.contact(&service()), Contact::Reached);
    assert!(reach.get(&service()).is_none());
}

#[test]
fn silence_is_only_doubt() {
    let mut reach = Reach::default();
    for number in 0..9 {
        reach.record_silent(&service(), &target(number), 26);
    }
    assert_eq!(reach.contact(&service()), Contact::Doubtful);
    reach.record_contact(&service(), &target(1), || 26, Time(1));
    assert_eq!(reach.contact(&service()), Contact::Reached);
}

#[test]
fn failures_expire_while_reached() {
    let mut reach = Reach::default();
    for number in 0..25 {
        let now = Time(1 + number as u64 * 1_000_000);
        reach.record_unreachable(&service(), &target(number), 26, now);
        reach.record_contact(&service(), &target(25), || 26, Time(1));
    }
    assert_eq!(reach.contact(&service()), Contact::Reached);
}

#[test]
fn partial_contact_is_recent() {
    let mut reach = Reach::default();
    fail(&mut reach, 26, 0..20);
    assert!(reach.has_none(&service(), Time(1)));
    reach.record_contact(&service(), &target(25), || 26, Time(2));
    assert!(!reach.has_none(&service(), Time(3)));
    assert!(reach.is_unreachable(&service(), &target(3)));
    assert!(reach.has_none(&service(), Time(3_000_000)));
}

#[test]
fn loss_is_told_after_some_time() {
    let mut reach = Reach::default();
    fail(&mut reach, 26, 0..3);
    assert_eq!(reach.lost_for_long(Time(500_000)).count(), 0);
    assert_eq!(reach.lost_for_long(Time(2_000_000)).count(), 1);
    reach.record_contact(&service(), &target(0), || 26, Time(2_000_000));
    assert_eq!(reach.lost_for_long(Time(9_000_000)).count(), 0);
}

fn addr(number: u8) -> std::net::SocketAddr {
    ([10, 0, 0, number], 7_660).into()
}

#[test]
fn peer_choice_prefers_fewer_requests() {
    let mut choice = PeerChoice::default();
    let peers = [addr(1), addr(2)];
    choice.begin(addr(1));
    assert_eq!(choice.choose(&peers, Time(0), [0.0, 0.9]), Some(addr(2)));
    assert_eq!(choice.choose(&peers, Time(0), [0.9, 0.0]), Some(addr(2)));
    choice.end(addr(1));
    assert_eq!(choice.choose(&peers, Time(0), [0.0, 0.9]), Some(addr(1)));
}

#[test]
fn peer_choice_leaves_out_avoided() {
    let mut choice = PeerChoice::default();
    choice.avoid(addr(1), Time(0));
    assert_eq!(choice.choose(&[addr(1)], Time(1), [0.0, 0.0]), None);
    assert_eq!(
        choice.choose(&[addr(1)], Time(2_000_000), [0.0, 0.0]),
        Some(addr(1))
    );
}
