//! Guards against admission that refuses every call with a short deadline because of a guessed
//! service time.

use super::*;

fn class() -> Class {
    Class {
        name: "lookup".into(),
        target_ms: 1_000,
        delay_ms: 20,
        idempotent: true,
        timeout_ms: 20_000,
    }
}

#[test]
fn measured_mean_us_without_samples() {
    let state = ClassState::new(class());
    assert!(state.measured_mean_us().abs() < f64::EPSILON);
    assert!(state.mean_us() > 0.0);
}

#[test]
fn measured_mean_us_follows_samples() {
    let mut state = ClassState::new(class());
    for _ in 0..200 {
        state.record(7_000);
    }
    assert!((state.measured_mean_us() - 7_000.0).abs() < 1.0);
}
