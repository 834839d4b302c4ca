use super::*;

#[test]
fn value_forgets_after_two_windows() {
    let at = |ms| Time(0).plus_ms(ms);
    let mut peak = RecentPeak::default();
    assert_eq!(peak.value(at(5)), 0);
    peak.record(70, at(5_000));
    peak.record(30, at(5_900));
    assert_eq!(peak.value(at(5_950)), 70);
    peak.record(10, at(6_100));
    assert_eq!(peak.value(at(6_200)), 70);
    peak.record(20, at(7_200));
    assert_eq!(peak.value(at(7_300)), 20);
    assert_eq!(peak.value(at(9_300)), 0);
}
