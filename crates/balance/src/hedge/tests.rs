use super::*;

/// Guards against hedges that are sent too late to respond within the objective.
#[test]
fn hedge_leaves_time_for_response() {
    let processing_ms = 73.0;
    let delay_ms = hedge_delay_ms(processing_ms, 195.0, processing_ms);
    assert!(
        delay_ms + processing_ms < 195.0 && delay_ms >= processing_ms * 1.4,
        "hedge after {delay_ms} ms"
    );
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
