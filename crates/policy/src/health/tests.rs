//! Guards against ejections after single failures, and against targets that stay ejected for ever.

use super::*;

#[test]
fn record_failure_ejects_after_three_in_a_row() {
    let mut health = Health::default();
    let now = Time::from_ms(1);
    health.record_failure(now, 0.5);
    health.record_failure(now, 0.5);
    health.record_success();
    health.record_failure(now, 0.5);
    health.record_failure(now, 0.5);
    assert_eq!(health.max_calls(now), u32::MAX);
    health.record_failure(now, 0.5);
    assert_eq!(health.max_calls(now), 0);
}

#[test]
fn max_calls_one_probe_after_backoff() {
    let mut health = Health::default();
    let now = Time::from_ms(1);
    (0..3).for_each(|_| health.record_failure(now, 0.5));
    assert_eq!(health.max_calls(now.plus_ms(BACKOFF_MS - 1)), 0);
    let probe = now.plus_ms(BACKOFF_MS);
    assert_eq!(health.max_calls(probe), 1);
    health.record_failure(probe, 0.5);
    assert_eq!(
        health.max_calls(probe.plus_ms(2 * BACKOFF_MS - 1)),
        0,
        "backoff did not double"
    );
    assert!(health.record_success());
    assert_eq!(health.max_calls(probe), u32::MAX);
}

#[test]
fn record_failure_jitters_backoff() {
    let wait = |jitter| {
        let mut health = Health::default();
        (0..3).for_each(|_| health.record_failure(Time(0), jitter));
        (0..2_000).find(|ms| health.max_calls(Time::from_ms(*ms)) == 1)
    };
    assert_eq!((wait(0.0), wait(0.9)), (Some(250), Some(700)));
}
