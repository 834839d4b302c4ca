use balance::Crash;

use super::*;
use crate::example::state;

const KEY: u64 = 7;

fn crash(state: &State, process: u64) {
    let at = state.now();
    let crash = Crash {
        process,
        sent: at,
        at,
    };
    let mut suspects = state.crash_suspects.borrow_mut();
    suspects.record_crash(KEY, crash, at);
}

/// Guards against copies of a request that end one target each, after two have ended under it.
#[test]
fn begin_allows_one_trial_after_two_crashes() {
    let state = state(20.0);
    crash(&state, 1);
    let free = [(); 3].map(|()| SuspectTrial::begin(&state, KEY));
    assert!(free.iter().all(Option::is_some));
    crash(&state, 2);
    let first = SuspectTrial::begin(&state, KEY);
    assert!(first.is_some());
    assert!(SuspectTrial::begin(&state, KEY).is_none());
    assert!(SuspectTrial::begin(&state, KEY + 1).is_some());
    drop(first);
    assert!(SuspectTrial::begin(&state, KEY).is_some());
}

/// Guards against a request that waits for a target while others confirm that it crashes them.
#[test]
fn begin_refuses_confirmed_request() {
    let state = state(20.0);
    for process in 1..=3 {
        crash(&state, process);
    }
    assert!(SuspectTrial::begin(&state, KEY).is_none());
}
