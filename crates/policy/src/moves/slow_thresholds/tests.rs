//! Guards against thresholds so close to usual service times that the cost of a fresh connection or
//! of another zone makes a call slow.

use super::*;

fn with_samples() -> SlowThresholds {
    let mut thresholds = SlowThresholds::default();
    for _ in 0..MAX_SAMPLES {
        thresholds.record(Side::Old, "GET /", 5_000);
    }
    thresholds
}

#[test]
fn record_service_times_without_spread() {
    let mut thresholds = with_samples();
    assert!(!thresholds.record(Side::New, "GET /", 6_500));
    assert!(thresholds.record(Side::New, "GET /", 7_001));
}

#[test]
fn record_before_min_samples() {
    assert!(!SlowThresholds::default().record(Side::New, "GET /", 1_000_000));
}
