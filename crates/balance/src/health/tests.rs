use super::*;

const START: Time = Time(1_000_000);

#[test]
fn record_refused_ejects_target_for_a_while() {
    let mut health = Health::default();
    health.record_refused(START);
    assert!(health.is_ejected(START.plus_ms(100)));
    assert!(!health.is_ejected(START.plus_ms(1_000)));
}

#[test]
fn record_half_failing_target_is_ejected() {
    let mut health = Health::default();
    for at in 0..10_u64 {
        let bad = u32::from(at % 2 == 1);
        health.record(START.plus_ms(at * 50), 1 - bad, bad);
    }
    assert!(health.is_ejected(START.plus_ms(500)));
}

#[test]
fn record_rare_failures_eject_nothing() {
    let mut health = Health::default();
    for at in 0..1_000_u64 {
        let bad = u32::from(at % 50 == 49);
        health.record(START.plus_ms(at * 50), 1 - bad, bad);
        assert!(!health.is_ejected(START.plus_ms(at * 50)));
    }
}

#[test]
fn failure_rate_decays() {
    let mut health = Health::default();
    health.record(START, 2, 2);
    let later = START.plus_ms(20_000);
    assert!(health.failure_rate(START) > 0.4);
    assert!(health.failure_rate(later) < 0.01);
}
