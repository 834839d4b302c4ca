use model::{ServiceName, Version};

use super::*;

const LIMIT_MS: u64 = 16_000;

fn rollout() -> Rollout {
    let order = RolloutOrder {
        service: ServiceName::new("s"),
        version: Version::new("v2"),
        limit_ms: LIMIT_MS,
        position: Position { era: 1, offset: 7 },
    };
    Rollout::new(order, Time(0))
}

/// Simulates a rollout at one instance with 140 requests a second. `is_bad` decides which requests
/// to the new version fail. Returns the verdict, its time in milliseconds and the number of
/// requests to the new version.
fn simulate(is_bad: impl Fn(u64, Stage, u64) -> bool) -> (Verdict, u64, u64) {
    let mut rollout = rollout();
    let mut new = 0;
    for ms in (0..LIMIT_MS).step_by(7) {
        let now = Time::from_ms(ms);
        if let Some(verdict) = rollout.advance(now, ms > 500, &[]) {
            return (verdict, ms, new);
        }
        let is_new = rollout.next_is_new();
        if is_new {
            new += 1;
            let bad = is_bad(ms, rollout.stage, new);
            rollout
                .own_evidence
                .record(true, rollout.stage.0, (new % 4 == 0).into(), !bad);
        } else {
            rollout.own_evidence.record(false, 0, 0, true);
        }
        rollout.stop_if_bad();
    }
    (Verdict::Running, LIMIT_MS, new)
}

/// Most requests that a bad version may get: a tenth of those within the time limit, plus 50.
const MAX_BAD_REQUESTS: u64 = LIMIT_MS / 7 / 10 + 50;

#[test]
fn advance_good_version_completes_in_time() {
    let (verdict, ms, _) = simulate(|_, _, new| new % 100 == 99);
    assert_eq!(verdict, Verdict::Done);
    assert!(ms < LIMIT_MS * 9 / 10, "done after {ms} ms");
}

/// Decides whether a request to the new version fails, by time in milliseconds, stage and number of
/// the request.
type FailureRule = fn(u64, Stage, u64) -> bool;

#[test]
fn advance_bad_version_is_undone_within_exposure() {
    let cases: [(&str, FailureRule); 4] = [
        ("errors", |_, _, new| new % 2 == 0),
        ("late", |ms, _, new| ms > 3_500 && new % 2 == 0),
        ("under load", |_, stage, new| stage.0 >= 3 && new % 2 == 0),
        ("one route", |_, _, new| new % 8 == 0),
    ];
    for (name, is_bad) in cases {
        let (verdict, _, new) = simulate(is_bad);
        assert_eq!(verdict, Verdict::Undone, "{name}");
        assert!(new <= MAX_BAD_REQUESTS, "{name}: {new} requests");
    }
}

#[test]
fn advance_waits_for_all_instances() {
    let mut rollout = rollout();
    let other = (InstanceId::new("b"), 1);
    rollout.record_report(
        other.clone(),
        Stage::LAST,
        false,
        Evidence::default(),
        Time(0),
    );
    let late = Time::from_ms(LIMIT_MS);
    let behind = (InstanceId::new("c"), 1);
    assert_eq!(rollout.advance(late, true, &[other.clone(), behind]), None);
    assert_eq!(rollout.advance(late, true, &[other]), Some(Verdict::Done));
}

#[test]
fn next_is_new_never_after_stop() {
    let mut rollout = rollout();
    rollout.record_report(
        (InstanceId::new("b"), 1),
        Stage(3),
        true,
        Evidence::default(),
        Time(0),
    );
    assert!((0..100).all(|_| !rollout.next_is_new()));
}

#[test]
fn next_is_new_keeps_share_of_first_stage() {
    let mut rollout = rollout();
    rollout.advance(Time::from_ms(10), true, &[]);
    assert_eq!(rollout.stage, Stage(1));
    let new = (0..1_000).filter(|_| rollout.next_is_new()).count();
    assert!(
        (60..=70).contains(&new),
        "{new} of 1,000 requests went to the new version"
    );
}
