use super::*;

/// Guards against second sends that begin when they cannot end within the objective any more.
#[test]
fn hedge_leaves_time_for_second_send() {
    let work_ms = 73.0;
    let after = hedge_delay_ms(work_ms, 195.0, work_ms);
    assert!(after + work_ms < 195.0 && after >= work_ms * 1.4, "{after}");
}

#[test]
fn hedge_waits_longest_with_time_left() {
    assert!((hedge_delay_ms(100.0, 1_000.0, 100.0) - 180.0).abs() < 1e-9);
}

#[test]
fn hedge_not_at_once_for_late_requests() {
    assert!((hedge_delay_ms(100.0, 0.0, 100.0) - 140.0).abs() < 1e-9);
    assert!((hedge_delay_ms(5.0, 100.0, 5.0) - 25.0).abs() < 1e-9);
}
