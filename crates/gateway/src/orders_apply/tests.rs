use balance::Verdict;
use model::{ServiceName, Version};

use super::*;
use crate::{example::state, store_era::record_era};

fn record(era: u64, offset: u64, key: &str, value: &str) -> Record {
    Record {
        position: Position { era, offset },
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

fn order(era: u64, offset: u64, version: &str) -> Record {
    let value = format!(r#"{{"service":"s","new_version":"{version}","duration_s":12}}"#);
    record(era, offset, "rollout/s", &value)
}

/// Returns the state of an instance that has read `records` in the first era of the store, which
/// then came back from an earlier copy.
fn restored(records: &[Record]) -> Rc<State> {
    let state = state(1_000.0);
    record_era(&state, 1, "test");
    for record in records {
        apply_orders(&state, std::slice::from_ref(record), Source::Read);
    }
    record_era(&state, 2, "test");
    state
}

fn zones(state: &State) -> Vec<String> {
    let zones = state.zones_out.borrow();
    zones.iter().map(ToString::to_string).collect()
}

fn set_verdict(state: &State, verdict: Verdict) {
    let mut rollouts = state.rollouts.borrow_mut();
    rollouts.get_mut(&ServiceName::new("s")).unwrap().verdict = verdict;
}

/// Returns the position, the version and the verdict of the rollout.
fn rollout(state: &State) -> (Position, String, Verdict) {
    let rollouts = state.rollouts.borrow();
    let rollout = &rollouts[&ServiceName::new("s")];
    let order = &rollout.order;
    (order.position, order.version.to_string(), rollout.verdict)
}

/// Guards against requests to a zone whose evacuation was lost with the store's latest records, and
/// against a zone that stays out because its return was lost.
#[test]
fn zones_stay_until_operator_has_written_again() {
    let out = |era, offset| record(era, offset, "evacuate/lost", "{}");
    let back_out = |era| record(era, 1, "evacuate/back", "{}");
    let back_in = record(1, 2, "evacuate/back", "");
    let state = restored(&[back_out(1), back_in, out(1, 3)]);
    assert_eq!(zones(&state), ["lost"]);
    apply_orders(&state, &[back_out(2)], Source::RestoredListing);
    assert_eq!(zones(&state), ["lost"]);
    apply_orders(&state, &[out(2, 2)], Source::Read);
    assert_eq!(zones(&state), ["lost"]);
    apply_orders(&state, &[out(2, 2)], Source::Listing);
    assert_eq!(zones(&state), ["lost"]);
    apply_orders(&state, &[], Source::Listing);
    assert!(zones(&state).is_empty());
}

/// Guards against a rollout that starts again, after its verdict, because the operator has written
/// its order again.
#[test]
fn rewritten_order_keeps_rollout_and_verdict() {
    let state = restored(&[order(1, 3, "v1"), order(1, 7, "v2")]);
    set_verdict(&state, Verdict::Done);
    apply_orders(&state, &[order(2, 3, "v1")], Source::RestoredListing);
    let old = Position { era: 1, offset: 7 };
    assert_eq!(rollout(&state), (old, String::from("v2"), Verdict::Done));
    apply_orders(&state, &[order(2, 4, "v2")], Source::Read);
    let position = Position { era: 2, offset: 4 };
    let expected = (position, String::from("v2"), Verdict::Done);
    assert_eq!(rollout(&state), expected);
    apply_orders(&state, &[order(2, 4, "v2")], Source::Listing);
    assert_eq!(rollout(&state), expected);
    apply_orders(&state, &[order(2, 9, "v2")], Source::Read);
    assert_eq!(rollout(&state).2, Verdict::Running, "a second order");
}

/// Guards against instances that no longer recognise each other's reports because one of them knows
/// the position of an order from an earlier era.
#[test]
fn kept_order_gets_position_of_new_era() {
    let state = restored(&[order(1, 3, "v2")]);
    apply_orders(&state, &[order(2, 3, "v2")], Source::RestoredListing);
    assert_eq!(rollout(&state).0, Position { era: 2, offset: 3 });
}

/// Guards against a verdict that was confirmed, lost by the store, and then goes back or is never
/// recorded again.
#[test]
fn lost_verdict_stays_and_is_not_recorded() {
    let state = restored(&[order(1, 7, "v2")]);
    set_verdict(&state, Verdict::Done);
    apply_orders(&state, &[order(2, 4, "v2")], Source::Read);
    let recorded = RecordedVerdict {
        service: ServiceName::new("s"),
        version: Version::new("v2"),
        order: Some(Position { era: 1, offset: 7 }),
        verdict: Verdict::Running,
    };
    apply_verdict(&state, &recorded, "store");
    assert_eq!(rollout(&state).2, Verdict::Done);
    let rollouts = state.rollouts.borrow();
    assert!(!rollouts[&ServiceName::new("s")].is_recorded(Verdict::Done));
}

/// Guards against an order of an earlier rollout that a store without the latest one lists again.
#[test]
fn known_order_does_not_replace_later_one() {
    let state = restored(&[order(1, 3, "v1"), order(1, 7, "v2")]);
    for source in [Source::RestoredListing, Source::Listing] {
        apply_orders(&state, &[order(2, 3, "v1")], source);
        assert_eq!(rollout(&state).1, "v2", "{source:?}");
    }
    apply_orders(&state, &[order(2, 3, "v3")], Source::Read);
    assert_eq!(rollout(&state).1, "v3");
}

/// Guards against an instance that starts after the store came back from an earlier copy, takes the
/// verdict for one on another order, and starts the rollout again.
#[test]
fn verdict_on_earlier_position_counts_for_new_instance() {
    let state = state(1_000.0);
    record_era(&state, 2, "test");
    apply_orders(&state, &[order(2, 4, "v2")], Source::Listing);
    let recorded = |era| RecordedVerdict {
        service: ServiceName::new("s"),
        version: Version::new("v2"),
        order: Some(Position { era, offset: 1 }),
        verdict: Verdict::Undone,
    };
    apply_verdict(&state, &recorded(2), "store");
    assert_eq!(rollout(&state).2, Verdict::Running, "an earlier order");
    apply_verdict(&state, &recorded(1), "store");
    assert_eq!(rollout(&state).2, Verdict::Undone);
}

/// Guards against a verdict that is recorded for the position of an order from before the store came
/// back, so that instances that start then do not recognise it.
#[test]
fn verdict_waits_for_position_in_era() {
    let state = restored(&[order(1, 7, "v2")]);
    set_verdict(&state, Verdict::Done);
    assert!(crate::rollouts::advance_rollouts(&state).is_empty());
    apply_orders(&state, &[order(2, 4, "v2")], Source::Read);
    let verdicts = crate::rollouts::advance_rollouts(&state);
    let recorded: Vec<_> = verdicts.iter().map(|(o, v)| (o.position, *v)).collect();
    assert_eq!(recorded, [(Position { era: 2, offset: 4 }, Verdict::Done)]);
}
