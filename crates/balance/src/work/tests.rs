use super::*;

#[test]
fn note_takes_pace_out() {
    let mut work = Work::default();
    for _ in 0..100 {
        work.note(400.0, 400);
    }
    assert!((work.ms() - 100.0).abs() < 1.0);
}

#[test]
fn note_outlier_is_capped() {
    let mut work = Work::default();
    work.note(100.0, 100);
    work.note(100_000.0, 100);
    assert!(work.ms() < 120.0);
}
