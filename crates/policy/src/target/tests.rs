//! Guards against targets that are overloaded after a cold start, against limits that fall because
//! of single slow calls, and against calls of previous owners that are forgotten or counted
//! forever.

use super::*;

fn view(incarnation: u64, state: TargetState) -> Arc<TargetView> {
    Arc::new(TargetView {
        id: "t".into(),
        incarnation,
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        region: "r".into(),
        version: "v1".into(),
        slots: 4,
        state,
        owner: "me".into(),
    })
}

fn warm() -> Target {
    let mut target = Target::new(view(1, TargetState::Usable));
    target.take_over();
    target.limit.adopt(4);
    target
}

#[test]
fn record_success_single_slow_call_changes_nothing() {
    let mut target = warm();
    for _ in 0..20 {
        (0..9).for_each(|_| target.record_success(1.0));
        target.record_success(3.5);
    }
    assert_eq!(target.limit.current(), 4);
}

#[test]
fn record_success_suddenly_slow_is_cold() {
    let mut target = warm();
    (0..4).for_each(|_| target.record_success(5.0));
    assert_eq!((target.limit.current(), target.limit.is_cold()), (1, true));
    (0..40).for_each(|_| target.record_success(5.0));
    assert_eq!(target.limit.current(), 1, "the limit of a slow target rose");
    (0..60).for_each(|_| target.record_success(1.0));
    assert_eq!(
        target.limit.current(),
        4,
        "the limit of a recovered target did not rise"
    );
}

#[test]
fn record_success_slow_on_average_halves() {
    let mut target = warm();
    (0..45).for_each(|i| target.record_success(if i % 3 == 2 { 1.0 } else { 6.0 }));
    assert!(target.limit.current() <= 2);
}

#[test]
fn record_cancelled_shows_slow_target() {
    let mut target = warm();
    (0..9).for_each(|_| target.record_cancelled(0.2));
    assert!(
        !target.is_slow(),
        "a quick cancellation made the target slow"
    );
    (0..45).for_each(|_| target.record_cancelled(4.0));
    assert!(target.is_slow(), "hedges hid a slow target");
}

#[test]
fn record_failure_overload_halves_and_errors_do_not() {
    let mut target = warm();
    target.record_failure(Time(0), false, 0.5);
    assert_eq!(target.limit.current(), 4);
    target.record_failure(Time(0), true, 0.5);
    assert_eq!(target.limit.current(), 2);
}

#[test]
fn set_view_new_process_and_usable_again_are_cold() {
    let mut target = warm();
    target.set_view(&view(2, TargetState::Usable));
    assert_eq!(target.limit.current(), 1);
    target.limit.adopt(4);
    target.set_view(&view(2, TargetState::ZoneOut));
    assert_eq!(target.capacity(Time(0), true), 0);
    target.set_view(&view(2, TargetState::Usable));
    assert_eq!(target.limit.current(), 1);
}

#[test]
fn record_inherited_delayed_and_repeated_reports() {
    let mut target = warm();
    let until = Time::from_ms(100);
    let report = |view, busy| InheritedCalls {
        busy,
        until,
        list_version: view,
    };
    let peer = InstanceId::new("old");
    target.record_inherited(&peer, report(5, 3));
    target.record_inherited(&peer, report(5, 1));
    target.record_inherited(&peer, report(5, 2));
    assert_eq!(target.used_slots(), 1, "a delayed report raised the count");
    target.record_inherited(&peer, report(4, 3));
    assert_eq!(
        target.used_slots(),
        1,
        "a report with an older view was used"
    );
    target.record_inherited(&peer, report(6, 2));
    assert_eq!(target.used_slots(), 2, "a later handover was ignored");
    assert_eq!(target.used_excluding(&peer), 0);
}

#[test]
fn record_inherited_answer_to_a_new_claim() {
    let mut target = warm();
    let until = Time::from_ms(100);
    let peer = InstanceId::new("old");
    let report = |busy| InheritedCalls {
        busy,
        until,
        list_version: 5,
    };
    target.record_inherited(&peer, report(1));
    target.pending_peers.push(peer.clone());
    target.record_inherited(&peer, report(3));
    assert_eq!(
        target.used_slots(),
        3,
        "the report of an earlier handover hid that of a later one"
    );
}
