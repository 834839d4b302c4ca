//! Tests that the checks of invariants detect violations. Each test bypasses the code that prevents
//! one violation.

use model::TargetId;

use super::bed::*;
use crate::{TargetState, running_call::Slot, target::Target};

/// Starts a second attempt of a running call on `t-1` after applying `change` to that target.
fn start_violating_attempt(class: usize, change: impl FnOnce(&mut Target)) {
    let mut bed = TestBed::warm(2);
    let id = TargetId::new("t-1");
    let target = bed.dispatcher.targets.get_mut(&id).unwrap();
    target.limit.adopt(1);
    target.own_attempts = 1;
    let first = bed.start(class);
    let target = bed.dispatcher.targets.get_mut(&id).unwrap();
    target.own_attempts = 0;
    change(target);
    let now = bed.now;
    let mut out = Vec::new();
    bed.dispatcher
        .start_attempt(now, first.0, id, Slot::Own, &mut out);
    assert!(starts(&out).is_empty(), "a violation was carried out");
}

fn set_state(target: &mut Target, state: TargetState) {
    std::sync::Arc::make_mut(&mut target.view).state = state;
}

#[test]
#[should_panic(expected = "9007")]
fn attempt_second_run_of_non_idempotent_call() {
    start_violating_attempt(CONFIRM, |_| {});
}

#[test]
#[should_panic(expected = "9003")]
fn attempt_in_zone_that_is_out() {
    start_violating_attempt(URGENT, |t| set_state(t, TargetState::ZoneOut));
}

#[test]
#[should_panic(expected = "9004")]
fn attempt_on_stopped_version() {
    start_violating_attempt(URGENT, |t| set_state(t, TargetState::Barred));
}

#[test]
#[should_panic(expected = "9008")]
fn attempt_on_leaving_target() {
    start_violating_attempt(URGENT, |t| set_state(t, TargetState::Leaving));
}

#[test]
#[should_panic(expected = "9008")]
fn attempt_on_draining_target() {
    start_violating_attempt(URGENT, |t| t.draining_incarnation = Some(1));
}

#[test]
#[should_panic(expected = "9002")]
fn attempt_beyond_cold_limit() {
    start_violating_attempt(URGENT, |t| t.own_attempts = 1);
}

#[test]
#[should_panic(expected = "9001")]
fn flush_beyond_budget() {
    let mut bed = TestBed::warm(1);
    (0..2_000).for_each(|_| bed.dispatcher.message_budget.spend(1));
    bed.dispatcher.message_budget = bed.dispatcher.message_budget.refilled();
    bed.dispatcher
        .send(&"peer".into(), wire::LoanMsg::Recall { loan: 1 });
    bed.tick();
}
