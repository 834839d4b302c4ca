//! Guards against a wrong order, and against counts that differ from the queued calls.

use super::*;
use crate::Call;

fn waiting(id: u64, caller: u64, latest_ms: u64, loose: bool, over: bool) -> WaitingCall {
    let call = Call {
        id: CallId(id),
        class: 0,
        caller,
        bytes: 10,
        arrived: Time(0),
        deadline: Time::MAX,
        replayable: true,
        retries: 0,
    };
    WaitingCall {
        call,
        class: 0,
        loose,
        over_share: over,
        latest_start: Time::from_ms(latest_ms),
        earliest_start: Time(0),
        tried: Vec::new(),
        possible_runs: 0,
    }
}

fn queue() -> Queue {
    let mut queue = Queue::default();
    queue.push(waiting(1, 7, 30, false, false));
    queue.push(waiting(2, 7, 10, false, true));
    queue.push(waiting(3, 8, 20, true, false));
    queue.push(waiting(4, 7, 15, false, false));
    queue
}

#[test]
fn iter_fair_callers_first_then_latest_start() {
    let order: Vec<u64> = queue().iter().map(|w| w.call.id.0).collect();
    assert_eq!(order, [4, 3, 1, 2]);
}

#[test]
fn remove_keeps_counts() {
    let mut queue = queue();
    assert_eq!(
        (queue.len(), queue.tight_count(), queue.bytes()),
        (4, 3, 40)
    );
    assert_eq!(queue.largest_caller(false), Some((7, 3)));
    for id in [4, 1, 2, 3] {
        assert!(queue.remove(CallId(id)).is_some());
        assert!(queue.remove(CallId(id)).is_none());
    }
    assert_eq!((queue.len(), queue.tight_count(), queue.bytes()), (0, 0, 0));
    assert_eq!(queue.largest_caller(false), None);
}

#[test]
fn count_ahead_counts_calls_of_the_same_kind() {
    let queue = queue();
    assert_eq!(queue.count_ahead(CallId(2)), 2);
    assert_eq!(queue.count_ahead(CallId(3)), 0);
}

#[test]
fn last_unstarted_skips_calls_with_attempts() {
    let mut queue = queue();
    let mut retried = waiting(5, 7, 90, false, true);
    retried.tried.push("t".into());
    queue.push(retried);
    assert_eq!(queue.last_unstarted(7, false), Some(CallId(2)));
}

#[test]
fn past_latest_start_excludes_exact_time() {
    assert!(queue().past_latest_start(Time::from_ms(10)).is_empty());
    assert_eq!(
        queue().past_latest_start(Time::from_ms(16)),
        [CallId(4), CallId(2)]
    );
}
