//! Guards against ejection on single failures, and against ejection without end.

use super::*;

#[test]
fn bad_ejects_after_three_in_a_row() {
    let mut health = Health::default();
    let now = Time::from_ms(1);
    health.bad(now, 0.5);
    health.bad(now, 0.5);
    health.good();
    health.bad(now, 0.5);
    health.bad(now, 0.5);
    assert_eq!(health.cap(now), u32::MAX);
    health.bad(now, 0.5);
    assert_eq!(health.cap(now), 0);
}

#[test]
fn cap_one_trial_after_backoff() {
    let mut health = Health::default();
    let now = Time::from_ms(1);
    (0..3).for_each(|_| health.bad(now, 0.5));
    assert_eq!(health.cap(now.plus_ms(BACKOFF_MS - 1)), 0);
    let trial = now.plus_ms(BACKOFF_MS);
    assert_eq!(health.cap(trial), 1);
    health.bad(trial, 0.5);
    assert_eq!(
        health.cap(trial.plus_ms(2 * BACKOFF_MS - 1)),
        0,
        "backoff did not double"
    );
    assert!(health.good());
    assert_eq!(health.cap(trial), u32::MAX);
}

#[test]
fn bad_jitters_backoff() {
    let wait = |jitter| {
        let mut health = Health::default();
        (0..3).for_each(|_| health.bad(Time(0), jitter));
        (0..2_000).find(|ms| health.cap(Time::from_ms(*ms)) == 1)
    };
    assert_eq!((wait(0.0), wait(0.9)), (Some(250), Some(700)));
}
