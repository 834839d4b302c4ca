//! Guards against bars that count the cost of a fresh connection or another zone as slowness.

use super::*;

fn fed() -> SlowBar {
    let mut bar = SlowBar::default();
    for _ in 0..SAMPLES {
        bar.is_slow(Side::Old, "GET /", 5_000);
    }
    bar
}

#[test]
fn is_slow_without_spread() {
    let mut bar = fed();
    assert!(!bar.is_slow(Side::New, "GET /", 6_500));
    assert!(bar.is_slow(Side::New, "GET /", 7_001));
}

#[test]
fn is_slow_before_samples() {
    assert!(!SlowBar::default().is_slow(Side::New, "GET /", 1_000_000));
}
