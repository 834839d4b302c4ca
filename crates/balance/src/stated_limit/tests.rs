use super::*;

fn at(s: u64) -> Time {
    Time::from_ms(60_000 + s * 1_000)
}

/// Guards against an instance that keeps to a limit for good because nobody sends to the target.
#[test]
fn rate_expires_without_word() {
    let mut limit = StatedLimit::default();
    assert_eq!(limit.rate(at(0)), None);
    assert!(limit.record(Some(2.4), at(0)));
    assert_eq!(limit.rate(at(9)), Some(2.4));
    assert_eq!(limit.rate(at(10)), None);
    assert!(limit.record(Some(2.4), at(11)), "in force again");
}

/// Guards against a report that was on its way for long and brings back a limit that has ended.
#[test]
fn record_older_is_ignored() {
    let mut limit = StatedLimit::default();
    limit.record(Some(2.0), at(1));
    assert!(limit.record(None, at(3)));
    assert!(!limit.record_report(Some(2.0), at(2), at(4)));
    assert_eq!(limit.rate(at(4)), None);
    assert_eq!(
        limit.take_report(at(4)),
        Some((None, 1_000_000)),
        "the others are told again that it has ended"
    );
}

/// Guards against instances that do not learn of a limit or of its end, and against heartbeats that
/// repeat every limit of a large system.
#[test]
fn take_report_of_news_and_rarely_of_known() {
    let mut limit = StatedLimit::default();
    assert_eq!(limit.take_report(at(0)), None, "there never was a limit");
    limit.record(Some(2.0), at(0));
    assert_eq!(limit.take_report(at(0)), Some((Some(2.0), 0)));
    limit.record(Some(2.0), at(1));
    assert_eq!(limit.take_report(at(1)), None);
    limit.record_report(Some(2.0), at(2), at(2));
    limit.record(Some(2.0), at(4));
    assert_eq!(limit.take_report(at(4)), None, "another instance has told");
    assert_eq!(limit.take_report(at(5)), Some((Some(2.0), 1_000_000)));
    limit.record(None, at(6));
    assert_eq!(limit.take_report(at(6)), Some((None, 0)));
    assert_eq!(limit.take_report(at(20)), None);
}

#[test]
fn take_report_without_fresh_response() {
    let mut limit = StatedLimit::default();
    limit.record_report(Some(2.0), at(0), at(0));
    assert_eq!(limit.take_report(at(5)), None, "nothing new is known here");
}

#[test]
fn record_small_change_is_no_news() {
    let mut limit = StatedLimit::default();
    limit.record(Some(4.0), at(0));
    limit.take_report(at(0));
    assert!(!limit.record(Some(4.1), at(1)));
    assert_eq!(limit.take_report(at(1)), None);
    assert_eq!(limit.rate(at(1)), Some(4.1));
    assert!(limit.record(Some(1.0), at(2)));
    assert!(limit.take_report(at(2)).is_some());
}
