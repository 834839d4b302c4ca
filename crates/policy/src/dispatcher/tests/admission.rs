//! Admission: order, reservation, refusals, fairness.

use model::Code;

use super::bed::*;
use crate::{Action, AttemptEnd, Event};

/// Guards against bulk calls that use the reserved slots, and against bulk calls that never start.
#[test]
fn loose_calls_leave_reserved_slots() {
    let mut bed = TestBed::warm(2);
    let bulk = (0..8).flat_map(|_| starts(&bed.arrive(BULK))).count();
    assert_eq!(bulk, 5, "one of six slots is reserved");
    assert_eq!(starts(&bed.arrive(URGENT)).len(), 1);
    let mut bed = TestBed::warm(2);
    (0..5).for_each(|_| drop(bed.start(URGENT)));
    assert_eq!(starts(&bed.arrive(BULK)).len(), 1, "bulk starved");
    assert!(starts(&bed.arrive(URGENT)).is_empty());
}

/// Guards against urgent calls that wait behind bulk calls.
#[test]
fn tight_calls_start_before_loose_ones() {
    let mut bed = TestBed::warm(2);
    let bulk: Vec<_> = (0..5).flat_map(|_| starts(&bed.arrive(BULK))).collect();
    bed.start(URGENT);
    bed.arrive(BULK);
    let urgent = bed.call(URGENT);
    bed.handle(Event::Arrive(urgent.clone()));
    assert_eq!(
        starts(&bed.finish(&bulk[0], AttemptEnd::Good))[0].0,
        urgent.id
    );
}

/// Guards against starts in order of arrival when a later call has the earlier latest start.
#[test]
fn tight_calls_in_order_of_latest_start() {
    let mut bed = TestBed::warm(1);
    let running: Vec<_> = (0..3).map(|_| bed.start(URGENT)).collect();
    let (confirm, urgent) = (bed.call(CONFIRM), bed.call(URGENT));
    bed.handle(Event::Arrive(confirm.clone()));
    bed.handle(Event::Arrive(urgent.clone()));
    assert_eq!(
        starts(&bed.finish(&running[0], AttemptEnd::Good))[0].0,
        urgent.id
    );
    assert_eq!(
        starts(&bed.finish(&running[1], AttemptEnd::Good))[0].0,
        confirm.id
    );
}

/// Guards against queued calls for which no slot can become free in time.
#[test]
fn admit_refuses_early_with_retry_delay() {
    let mut bed = TestBed::warm(1);
    (0..3).for_each(|_| drop(bed.start(URGENT)));
    let out: Vec<_> = (0..40).flat_map(|_| bed.arrive(URGENT)).collect();
    let refused = refusals(&out);
    // Three slots of 10 ms serve 4 or 5 calls within the allowed delay of 15 ms.
    assert!(
        (34..=37).contains(&refused.len()),
        "{} refused",
        refused.len()
    );
    assert!(refused.iter().all(|r| r.1 == Code::CannotMeet && r.2 >= 10));
}

/// Guards against calls that start after their latest start or after their deadline.
#[test]
fn refuse_expired_calls() {
    let mut bed = TestBed::warm(1);
    (0..3).for_each(|_| drop(bed.start(URGENT)));
    bed.arrive(URGENT);
    bed.now = bed.now.plus_ms(15);
    assert!(refusals(&bed.tick()).is_empty());
    bed.now = bed.now.plus_us(1);
    assert_eq!(refusals(&bed.tick())[0].1, Code::CannotMeet);
    let mut call = bed.call(URGENT);
    call.deadline = bed.now;
    assert_eq!(
        refusals(&bed.handle(Event::Arrive(call)))[0].1,
        Code::DeadlinePassed
    );
    let mut call = bed.call(URGENT);
    call.deadline = bed.now.plus_ms(1);
    let out = bed.handle(Event::Arrive(call));
    assert_eq!(
        refusals(&out)[0].1,
        Code::CannotMeet,
        "cannot end before its deadline"
    );
}

/// Guards against a queue without a bound, and against refusal of urgent calls because bulk calls
/// fill the queue.
#[test]
fn queue_bounds() {
    let mut bed = TestBed::warm(1);
    (0..3).for_each(|_| drop(bed.arrive(BULK)));
    bed.dispatcher.classes[BULK].record(100);
    (0..400).for_each(|_| drop(bed.arrive(BULK)));
    assert!(bed.dispatcher.stats().queue <= 256);
    assert!(bed.refused(Code::QueueFull) > 100);
    let out = bed.arrive(URGENT);
    assert!(refusals(&out).iter().all(|r| r.1 == Code::QueueFull));
    assert_eq!(bed.dispatcher.queue.tight_count() + starts(&out).len(), 1);
}

/// Guards against a few large calls that hold too much memory.
#[test]
fn queue_bounds_bytes() {
    let mut bed = TestBed::warm(1);
    (0..3).for_each(|_| drop(bed.arrive(BULK)));
    bed.dispatcher.classes[BULK].record(100);
    for _ in 0..20 {
        let mut call = bed.call(BULK);
        call.bytes = 1024 * 1024;
        bed.handle(Event::Arrive(call));
    }
    assert!(bed.dispatcher.stats().queue_bytes <= 8 * 1024 * 1024);
    assert!(bed.refused(Code::QueueFull) > 0);
}

/// Guards against refusal of calls because another caller fills the queue.
#[test]
fn largest_caller_refused_first() {
    let mut bed = TestBed::warm(1);
    (0..3).for_each(|_| drop(bed.start(URGENT)));
    let noisy: Vec<_> = (0..40)
        .flat_map(|_| {
            let mut call = bed.call(URGENT);
            call.caller = 99;
            bed.handle(Event::Arrive(call))
        })
        .collect();
    assert!(refusals(&noisy).iter().all(|r| r.1 == Code::CannotMeet));
    let quiet = bed.call(URGENT);
    let out = bed.handle(Event::Arrive(quiet.clone()));
    let refused = refusals(&out);
    assert_eq!((refused.len(), refused[0].1), (1, Code::FairShare));
    assert!(refused[0].0 != quiet.id);
}

/// Guards against slots that stay idle: a call of a caller over its share was not tried while more
/// than eight bulk calls, for which no slot was suitable, were ahead of it.
#[test]
fn start_calls_behind_loose_ones_that_fit_nothing() {
    let mut view = view(vec![target(0, "other")]);
    view.owners = vec!["other".into()];
    let mut bed = TestBed::warm_with(view);
    (0..12).for_each(|_| drop(bed.arrive(BULK)));
    bed.dispatcher.callers.add(98, 1.0);
    bed.dispatcher.callers.add(99, 100.0);
    let mut call = bed.call(URGENT);
    call.caller = 99;
    call.deadline = bed.now.plus_ms(800);
    bed.handle(Event::Arrive(call.clone()));
    // The bulk calls have 1 s and may not run on this loan.
    let grant = wire::LoanMsg::Grant {
        target: "t-0".into(),
        loan: 1,
        hold_ms: 900,
    };
    assert_eq!(starts(&bed.peer("other", grant))[0].0, call.id);
}

/// Guards against starts of calls whose caller went away, and against reporting their end twice.
#[test]
fn cancel_waiting_and_running() {
    let mut bed = TestBed::warm(1);
    let running: Vec<_> = (0..3).map(|_| bed.start(URGENT)).collect();
    let waiting = bed.call(URGENT);
    bed.handle(Event::Arrive(waiting.clone()));
    assert!(bed.handle(Event::Cancel { call: waiting.id }).is_empty());
    bed.handle(Event::Cancel { call: running[0].0 });
    let out = bed.finish(&running[0], AttemptEnd::Cut);
    assert!(
        starts(&out).is_empty(),
        "a cancelled call was started again"
    );
    assert_eq!(out, [Action::GiveUp { call: running[0].0 }]);
}

/// Guards against queued calls although no target accepts calls.
#[test]
fn admit_without_target() {
    let mut bed = TestBed::warm(0);
    assert_eq!(refusals(&bed.arrive(URGENT))[0].1, Code::NoTarget);
}
