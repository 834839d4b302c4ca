//! Retries and hedges.

use super::bed::*;
use crate::{AttemptEnd, CallId, Event};

/// Guards against a retry on the target that failed, and against a failed call while another target
/// is left.
#[test]
fn retry_on_another_target() {
    let mut bed = TestBed::warm(2);
    let first = bed.start(URGENT);
    let mut out = bed.finish(&first, AttemptEnd::Error);
    bed.now = bed.now.plus_ms(10);
    out.extend(bed.tick());
    let second = starts(&out).pop().expect("a retry");
    assert_eq!(second.0, first.0);
    assert!(second.1 != first.1);
    assert_eq!(
        give_ups(&bed.finish(&second, AttemptEnd::Error)),
        1,
        "no target is left"
    );
}

/// Guards against a second run of a non-idempotent call, and against no retry of one that never
/// ran.
#[test]
fn retry_non_idempotent_only_if_not_run() {
    for end in [AttemptEnd::Error, AttemptEnd::Timeout, AttemptEnd::Cut] {
        let mut bed = TestBed::warm(2);
        let first = bed.start(CONFIRM);
        let mut out = bed.finish(&first, end);
        assert_eq!(give_ups(&out), 1, "{end:?}");
        out.extend(bed.advance(100));
        assert!(starts(&out).is_empty(), "{end:?} ran twice");
    }
    for end in [AttemptEnd::Refused, AttemptEnd::ConnectFailed] {
        let mut bed = TestBed::warm(2);
        let first = bed.start(CONFIRM);
        bed.finish(&first, end);
        bed.now = bed.now.plus_ms(10);
        assert_eq!(starts(&bed.tick()).len(), 1, "{end:?} was not retried");
    }
}

/// Guards against more retries than the call allows, and against retries after the response began.
#[test]
fn retry_only_if_allowed() {
    let mut bed = TestBed::warm(3);
    let mut call = bed.call(URGENT);
    call.retries = 0;
    let first = starts(&bed.handle(Event::Arrive(call))).remove(0);
    assert_eq!(give_ups(&bed.finish(&first, AttemptEnd::Error)), 1);
    let first = bed.start(URGENT);
    let out = bed.finish_with(&first, AttemptEnd::Cut, |r| r.retryable = false);
    assert_eq!(give_ups(&out), 1);
}

/// Guards against a retry storm when every attempt fails.
#[test]
fn retry_budget() {
    let mut bed = TestBed::warm(6);
    for _ in 0..200 {
        let out = bed.arrive(URGENT);
        let mut running = starts(&out);
        while let Some(started) = running.pop() {
            bed.finish(&started, AttemptEnd::Error);
            bed.now = bed.now.plus_ms(9);
            running.extend(starts(&bed.tick()));
        }
    }
    let stats = bed.dispatcher.stats();
    assert!(stats.retries >= 15, "{} retries", stats.retries);
    assert!(
        stats.retries <= 1 + stats.arrived / 10,
        "{} retries",
        stats.retries
    );
}

/// Guards against a refusal, which states that a call was not run, after an attempt that may have
/// run.
#[test]
fn retry_that_waits_in_vain_gives_up() {
    let mut bed = TestBed::warm(2);
    let first = bed.start(URGENT);
    (0..5).for_each(|_| drop(bed.start(URGENT)));
    assert!(starts(&bed.finish(&first, AttemptEnd::Error)).is_empty());
    bed.now = bed.now.plus_ms(16);
    let out = bed.tick();
    assert!(refusals(&out).is_empty());
    assert!(starts(&out).len() + give_ups(&out) == 1, "{out:?}");
}

/// Lets calls of both classes succeed until their 95th percentiles are known.
fn record_service_times(bed: &mut TestBed) {
    for _ in 0..100 {
        for class in [URGENT, CONFIRM] {
            let started = bed.start(class);
            bed.finish(&started, AttemptEnd::Good);
        }
    }
}

/// Guards against hedges of calls that may not run twice, and against slow calls without a hedge.
#[test]
fn hedge_only_idempotent_replayable_calls() {
    let mut bed = TestBed::warm(4);
    record_service_times(&mut bed);
    let first = bed.start(URGENT);
    bed.start(CONFIRM);
    let mut call = bed.call(URGENT);
    call.replayable = false;
    bed.handle(Event::Arrive(call));
    bed.now = bed.now.plus_ms(50);
    let hedges = starts(&bed.tick());
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].0, first.0);
    assert!(hedges[0].1 != first.1);
}

/// Guards against reporting the end of a hedged call twice, and against a retry while its other
/// attempt runs.
#[test]
fn hedge_ends_once() {
    for (one, two, ends) in [
        (AttemptEnd::Good, AttemptEnd::Cancelled, [1, 0]),
        (AttemptEnd::Error, AttemptEnd::Good, [0, 1]),
        (AttemptEnd::Error, AttemptEnd::Timeout, [0, 1]),
    ] {
        let mut bed = TestBed::warm(2);
        record_service_times(&mut bed);
        let first = bed.start(URGENT);
        bed.now = bed.now.plus_ms(50);
        let hedge = starts(&bed.tick()).remove(0);
        let out = [bed.finish(&first, one), bed.finish(&hedge, two)];
        assert_eq!(
            [give_ups(&out[0]), give_ups(&out[1])],
            ends,
            "{one:?} {two:?}"
        );
        assert!(bed.dispatcher.in_use().is_empty());
    }
}

/// Guards against hedges that add more than 2% of work.
#[test]
fn hedge_budget() {
    let mut bed = TestBed::warm(8);
    record_service_times(&mut bed);
    let before = bed.dispatcher.stats();
    for _ in 0..500 {
        let started = bed.start(URGENT);
        bed.now = bed.now.plus_ms(60);
        for hedge in starts(&bed.tick()) {
            bed.finish(&hedge, AttemptEnd::Cancelled);
        }
        bed.finish(&started, AttemptEnd::Good);
    }
    let hedges = bed.dispatcher.stats().hedges - before.hedges;
    assert!((10..=16).contains(&hedges), "{hedges} hedges of 500 calls");
}

/// Guards against a panic or an action on the report of an unknown call.
#[test]
fn finish_unknown_call() {
    let mut bed = TestBed::warm(1);
    assert!(
        bed.finish(&(CallId(77), "t-0".into()), AttemptEnd::Good)
            .is_empty()
    );
}
