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
        reach.record_contact(&service(), &target(20), || 26);
    }
    assert_eq!(reach.contact(&service()), Contact::Reached);
}

#[test]
fn contact_is_lost_with_most_targets() {
    let mut reach = Reach::default();
    for number in 0..25 {
        fail(&mut reach, 26, number..number + 1);
        reach.record_contact(&service(), &target(25), || 26);
    }
    assert_eq!(reach.contact(&service()), Contact::Lost);
    let mut changes = (0..12).filter_map(|n| reach.record_contact(&service(), &target(n), || 26));
    assert_eq!(changes.next(), Some(Contact::Reached));
}

#[test]
fn contact_of_one_target_is_lost_at_once() {
    let mut reach = Reach::default();
    fail(&mut reach, 1, 0..1);
    assert_eq!(reach.contact(&service()), Contact::Lost);
    reach.record_contact(&service(), &target(0), || 1);
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
    reach.record_contact(&service(), &target(1), || 26);
    assert_eq!(reach.contact(&service()), Contact::Reached);
}

#[test]
fn failures_expire_while_reached() {
    let mut reach = Reach::default();
    for number in 0..25 {
        let now = Time(1 + number as u64 * 1_000_000);
        reach.record_unreachable(&service(), &target(number), 26, now);
        reach.record_contact(&service(), &target(25), || 26);
    }
    assert_eq!(reach.contact(&service()), Contact::Reached);
}
