use super::*;

const SIX_S: u64 = 6_000_000;

fn plan() -> StopPlan {
    StopPlan::new(Time::from_ms(10_000), SIX_S)
}

/// Guards against a request of the second half that is cut because its target takes long.
#[test]
fn accepts_late_only_what_ends_in_time() {
    let plan = plan();
    let late = Time::from_ms(13_500);
    assert!(plan.accepts(late, plan.answers_end(), 5.0));
    assert!(!plan.accepts(late, plan.answers_end().plus_ms(1), 5.0));
}

/// Guards against requests refused right after the signal because they may take long, and against
/// ones accepted then that usually take longer than is left.
#[test]
fn accepts_early_what_usually_ends_in_time() {
    let plan = plan();
    let (early, deadline) = (Time::from_ms(12_000), Time::from_ms(40_000));
    assert!(plan.accepts(early, deadline, 1_600.0));
    assert!(!plan.accepts(early, deadline, 1_800.0));
}

/// Guards against times of a stop, short or long, that are out of order.
#[test]
fn times_are_in_order() {
    for total_ms in [10, 500, 2_000, 6_000, 20_000, 600_000] {
        let plan = StopPlan::new(Time::from_ms(1_000), total_ms * 1_000);
        assert!(plan.idle_end() < plan.answers_end(), "{total_ms}");
        assert!(plan.answers_end() < plan.exit(), "{total_ms}");
        assert!(plan.exit() < Time::from_ms(1_000 + total_ms), "{total_ms}");
    }
}
