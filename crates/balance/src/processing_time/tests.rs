use super::*;

fn ms(work: &ProcessingTime) -> f64 {
    work.mean_ms().unwrap()
}

#[test]
fn note_takes_pace_out() {
    let mut work = ProcessingTime::default();
    for _ in 0..100 {
        work.record(400.0, 400, 400);
    }
    assert!((ms(&work) - 100.0).abs() < 1.0);
}

#[test]
fn note_outlier_is_capped() {
    let mut work = ProcessingTime::default();
    for _ in 0..20 {
        work.record(100.0, 100, 100);
    }
    work.record(100_000.0, 100, 100);
    assert!(ms(&work) < 120.0);
}

/// Guards against estimates that are several times too long after a neighbour got noisy: slow requests
/// would not be sent to a second target in time.
#[test]
fn note_leaves_out_changed_pace() {
    let mut work = ProcessingTime::default();
    work.record(300.0, 100, 400);
    work.record(300.0, 400, 100);
    assert_eq!(work.mean_ms(), None);
    work.record(75.0, 100, 100);
    work.record(300.0, 100, 400);
    assert!((ms(&work) - 75.0).abs() < f64::EPSILON);
}

#[test]
fn note_first_samples_count_alike() {
    let mut work = ProcessingTime::default();
    work.record(60.0, 100, 100);
    work.record(120.0, 100, 100);
    assert!((ms(&work) - 90.0).abs() < 1e-9);
}
