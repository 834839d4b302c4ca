//! Guards against a good version that is taken back because its new processes start cold.

use model::Wall;

use super::*;

fn version_move() -> MoveState {
    MoveState {
        id: "orders/v2/1".to_owned(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Wall(1),
        started: 1,
        share: 5_000,
        stepped: 1,
        stop: None,
        outcome: None,
    }
}

fn sample(version: &str, service_us: u64, cold: bool) -> Sample {
    Sample {
        version: version.into(),
        route: "GET /".into(),
        error: false,
        cancelled: false,
        cold,
        service_us,
    }
}

#[test]
fn count_cold_calls_are_not_slow() {
    let mut watch = MoveWatch::new(&version_move(), &"i-1".into(), 1);
    let old: Vec<Sample> = (0..200).map(|_| sample("v1", 1_000, false)).collect();
    watch.count(&old);
    let cold: Vec<Sample> = (0..50).map(|_| sample("v2", 90_000, true)).collect();
    watch.count(&cold);
    let slow = |watch: &MoveWatch| watch.evidence.totals(Side::New)["GET /"].slow;
    assert_eq!(slow(&watch), 0);
    let warm: Vec<Sample> = (0..50).map(|_| sample("v2", 90_000, false)).collect();
    watch.count(&warm);
    assert_eq!(slow(&watch), 50);
}

/// A version so slow that hedges always win against it would otherwise leave no evidence.
#[test]
fn count_outrun_calls_as_slow() {
    let mut watch = MoveWatch::new(&version_move(), &"i-1".into(), 1);
    let old: Vec<Sample> = (0..200).map(|_| sample("v1", 1_000, false)).collect();
    watch.count(&old);
    let cancelled = |us| Sample {
        cancelled: true,
        ..sample("v2", us, false)
    };
    watch.count(&[cancelled(90_000), cancelled(1_000)]);
    let counts = watch.evidence.totals(Side::New)["GET /"].clone();
    assert_eq!((counts.calls, counts.slow), (1, 1));
}
