//! Guards against bars that count the cost of a fresh connection or another zone as slowness.

use super::*;

fn fed() -> SlowThresholds {
    let mut bar = SlowThresholds::default();
    for _ in 0..SAMPLES {
        bar.record(Side::Old, "GET /", 5_000);
    }
    bar
}

#[test]
fn record_without_spread() {
    let mut bar = fed();
    assert!(!bar.record(Side::New, "GET /", 6_500));
    assert!(bar.record(Side::New, "GET /", 7_001));
}

#[test]
fn record_before_samples() {
    assert!(!SlowThresholds::default().record(Side::New, "GET /", 1_000_000));
}
