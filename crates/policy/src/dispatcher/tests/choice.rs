//! Choice of slots, limits and ejection.

use std::collections::BTreeSet;

use super::bed::*;
use crate::{Action, AttemptEnd, Dispatcher, Event, TargetSelection, TargetState};

/// Guards against several calls on one target while others are idle.
#[test]
fn choose_spreads_calls() {
    let mut bed = TestBed::warm(4);
    let used: BTreeSet<_> = (0..4).map(|_| bed.start(URGENT).1).collect();
    assert_eq!(used.len(), 4);
}

/// Guards against calls to another availability zone while the instance's own zone has free slots.
#[test]
fn choose_own_zone_first() {
    let mut targets: Vec<_> = (0..2).map(|n| target(n, "me")).collect();
    targets[0].zone = "b".into();
    let mut bed = TestBed::warm_with(view(targets));
    assert!((0..3).all(|_| bed.start(URGENT).1.as_str() == "t-1"));
    assert_eq!(bed.start(URGENT).1.as_str(), "t-0");
}

/// Guards against urgent calls on a slow target while another slot becomes free soon, and against a
/// slow target that is never tried again.
#[test]
fn choose_avoids_slow_target() {
    let mut bed = TestBed::warm(2);
    bed.dispatcher
        .targets
        .get_mut(&"t-0".into())
        .unwrap()
        .service_ratio = 5.0;
    let first: Vec<_> = (0..3).map(|_| bed.start(URGENT)).collect();
    assert!(first.iter().all(|s| s.1.as_str() == "t-1"));
    assert!(starts(&bed.arrive(URGENT)).is_empty());
    assert_eq!(
        starts(&bed.finish(&first[0], AttemptEnd::Good))[0]
            .1
            .as_str(),
        "t-1"
    );
    bed.arrive(URGENT);
    bed.now = bed.now.plus_ms(14);
    assert_eq!(
        starts(&bed.tick())[0].1.as_str(),
        "t-0",
        "did not start in time"
    );
}

/// Guards against refusal of tight calls because every target is slow: they waited for a faster
/// target that did not exist, and their expected wait then exceeded their delay.
#[test]
fn choose_slow_target_without_faster() {
    let mut bed = TestBed::warm(2);
    for target in bed.dispatcher.targets.values_mut() {
        target.service_ratio = 5.0;
    }
    assert_eq!(starts(&bed.arrive(URGENT)).len(), 1);
    assert_eq!(starts(&bed.arrive(URGENT)).len(), 1);
}

/// Guards against calls that fail because their instance may not open another connection to a
/// target with many slots.
#[test]
fn choose_within_connection_limit() {
    let mut many = target(0, "me");
    many.slots = 30;
    let mut bed = TestBed::warm_with(view(vec![many]));
    for _ in 0..40 {
        bed.arrive(CONFIRM);
    }
    assert_eq!(bed.dispatcher.targets[&"t-0".into()].own_attempts, 15);
}

/// Guards against more calls on a cold target than its limit.
#[test]
fn limit_cold_start_and_cold_again() {
    let mut bed = TestBed::new(view(vec![target(0, "me")]));
    let first = bed.start(URGENT);
    assert!(
        starts(&bed.arrive(URGENT)).is_empty(),
        "cold target got two calls"
    );
    let mut started = starts(&bed.finish(&first, AttemptEnd::Good));
    for _ in 0..40 {
        started.extend(starts(&bed.arrive(URGENT)));
        let next = started.remove(0);
        started.extend(starts(&bed.finish(&next, AttemptEnd::Good)));
    }
    assert_eq!(bed.limit(0), Some(3));
    let last = started.remove(0);
    bed.finish_with(&last, AttemptEnd::Good, |r| r.cold = true);
    assert_eq!(bed.limit(0), Some(1));
}

/// Guards against targets that fail fast and attract calls because their slots are free again soon.
#[test]
fn health_fail_fast_target_ejected() {
    let mut bed = TestBed::warm(3);
    for _ in 0..9 {
        let started = bed.start(CONFIRM);
        let end = if started.1.as_str() == "t-0" {
            AttemptEnd::Error
        } else {
            AttemptEnd::Good
        };
        bed.finish_with(&started, end, |r| r.service_us = 100);
    }
    assert_eq!(bed.dispatcher.stats().ejections, 1);
    let next: Vec<_> = (0..6).map(|_| bed.start(CONFIRM).1).collect();
    assert!(next.iter().all(|t| t.as_str() != "t-0"));
    bed.advance(1_000);
    assert_eq!(bed.start(CONFIRM).1.as_str(), "t-0", "no trial call");
    assert!(
        starts(&bed.arrive(CONFIRM)).is_empty(),
        "more than one trial call"
    );
}

/// Guards against an outage caused by ejecting every target.
#[test]
fn health_ignores_ejections_of_most_targets() {
    let mut bed = TestBed::warm(3);
    for _ in 0..9 {
        let started = bed.start(CONFIRM);
        bed.finish(&started, AttemptEnd::Error);
    }
    assert!(bed.dispatcher.ignore_ejections);
    assert_eq!(starts(&bed.arrive(CONFIRM)).len(), 1);
}

/// Guards against starts on targets that may not receive calls.
#[test]
fn start_only_on_usable_targets() {
    let states = [
        TargetState::ZoneOut,
        TargetState::Leaving,
        TargetState::Silent,
        TargetState::Barred,
    ];
    for state in states {
        let mut bed = TestBed::warm(2);
        bed.set_target(0, |t| t.state = state);
        let used: Vec<_> = (0..3).map(|_| bed.start(URGENT).1).collect();
        assert!(used.iter().all(|t| t.as_str() == "t-1"), "{state:?}");
        assert!(starts(&bed.arrive(URGENT)).is_empty(), "{state:?}");
    }
}

/// Guards against starts on a target that reported that it is draining, and against repeated
/// [`Action::Draining`].
#[test]
fn draining_is_reported_once_and_stops_starts() {
    let mut bed = TestBed::warm(2);
    let on_first = |bed: &mut TestBed| loop {
        let started = bed.start(URGENT);
        if started.1.as_str() == "t-0" {
            return started;
        }
    };
    let (one, two) = (on_first(&mut bed), on_first(&mut bed));
    let fact = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Draining { .. }));
    assert!(fact(
        &bed.finish_with(&one, AttemptEnd::Good, |r| r.draining = true)
    ));
    assert!(!fact(
        &bed.finish_with(&two, AttemptEnd::Good, |r| r.draining = true)
    ));
    let out = bed.arrive(URGENT);
    assert!(starts(&out).iter().all(|s| s.1.as_str() != "t-0"));
}

/// Guards against baselines that do not select targets as their names state.
#[test]
fn baseline_target_selection() {
    let targets = (0..5).map(|n| target(n, "other")).collect();
    for (pick, least) in [
        (TargetSelection::LeastInFlight, 5),
        (TargetSelection::TwoChoices, 3),
        (TargetSelection::Random, 2),
    ] {
        let mut bed = TestBed::new(view(Vec::clone(&targets)));
        bed.dispatcher = Dispatcher::with_selection(std::sync::Arc::new(bed.view.clone()), 3, pick);
        let used: BTreeSet<_> = (0..5).map(|_| bed.start(URGENT).1).collect();
        assert!(used.len() >= least, "{pick:?} used {} targets", used.len());
        let call = bed.call(URGENT);
        assert_eq!(starts(&bed.handle(Event::Arrive(call))).len(), 1);
    }
}
