use super::*;

fn ms(time: &ProcessingTime) -> f64 {
    time.mean_ms().unwrap()
}

#[test]
fn record_divides_by_slowdown() {
    let mut time = ProcessingTime::default();
    for _ in 0..100 {
        time.record(400.0, 400, 400);
    }
    assert!((ms(&time) - 100.0).abs() < 1.0);
}

#[test]
fn record_caps_outlier() {
    let mut time = ProcessingTime::default();
    for _ in 0..20 {
        time.record(100.0, 100, 100);
    }
    time.record(100_000.0, 100, 100);
    assert!(ms(&time) < 120.0);
}

/// Guards against estimates that are several times too long after other processes slowed down a
/// target: hedges would then be sent too late.
#[test]
fn record_ignores_changed_slowdown() {
    let mut time = ProcessingTime::default();
    time.record(300.0, 100, 400);
    time.record(300.0, 400, 100);
    assert_eq!(time.mean_ms(), None);
    time.record(75.0, 100, 100);
    time.record(300.0, 100, 400);
    assert!((ms(&time) - 75.0).abs() < f64::EPSILON);
}

#[test]
fn record_weights_first_samples_equally() {
    let mut time = ProcessingTime::default();
    time.record(60.0, 100, 100);
    time.record(120.0, 100, 100);
    assert!((ms(&time) - 90.0).abs() < 1e-9);
}
