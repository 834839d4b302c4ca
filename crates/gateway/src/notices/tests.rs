use std::rc::Rc;

use balance::TargetEntry;
use h1::Headers;
use model::{ServiceName, Version, Zone};

use super::*;
use crate::{example::state, selection::is_target_eligible};

fn id() -> TargetId {
    TargetId::new("i-1")
}

fn put(state: &State, born: u64) {
    let entry = TargetEntry {
        id: id(),
        service: ServiceName::new("orders"),
        addr: "10.1.64.1:8505".parse().unwrap(),
        zone: Zone::new("a"),
        version: Version::new("v1"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born,
    };
    state.targets.borrow_mut().put(entry, state.now());
}

fn instance() -> Rc<State> {
    let state = state(20.0);
    put(&state, 1);
    state
}

fn response(status: u16, lines: &[(&str, &str)]) -> Response {
    let mut headers = Headers::default();
    for (name, value) in lines {
        headers.push(name, value.as_bytes());
    }
    Response {
        status,
        headers,
        ..Response::default()
    }
}

fn is_usable(state: &State) -> bool {
    is_target_eligible(state, &id())
}

const LEAVING: &[(&str, &str)] = &[("Server-Leaving", "1")];

/// Guards against requests to a process that has said that it leaves: after its entry was written
/// again, was removed and came back, or was listed anew.
#[test]
fn leaving_outlasts_entries() {
    let state = instance();
    record_notices(&state, &id(), 1, &response(200, LEAVING), "response");
    assert!(!is_usable(&state));
    put(&state, 1);
    assert!(!is_usable(&state));
    let now = state.now();
    state.targets.borrow_mut().remove(&id(), now);
    put(&state, 1);
    assert!(!is_usable(&state));
    put(&state, 2);
    assert!(is_usable(&state), "a later process");
}

/// Guards against a late word on an earlier process that takes the present one out of use, and against
/// a word that arrives before the entry and is lost.
#[test]
fn leaving_of_other_process_is_kept_apart() {
    let state = instance();
    put(&state, 2);
    record_notices(&state, &id(), 1, &response(200, LEAVING), "response");
    assert!(is_usable(&state));
    let early = LeavingReport {
        target: id(),
        born: 3,
    };
    apply_leaving(&state, &[early], "peer");
    assert!(is_usable(&state));
    put(&state, 3);
    assert!(!is_usable(&state));
}

/// Guards against the word of another target that has the address now.
#[test]
fn notices_of_other_target_are_ignored() {
    let state = instance();
    let other = [
        ("Server-Leaving", "1"),
        ("X-Hibiscusway-Instance-Id", "i-2"),
    ];
    record_notices(&state, &id(), 1, &response(200, &other), "probe");
    record_notices(&state, &id(), 1, &response(421, LEAVING), "response");
    assert!(is_usable(&state));
}

/// Guards against a reader of the store that does not tell the others of an entry that drains, because
/// it knows already that the target leaves.
#[test]
fn leaving_does_not_hide_change_of_entry() {
    let state = instance();
    record_notices(&state, &id(), 1, &response(200, LEAVING), "response");
    assert!(state.targets.borrow_mut().start_draining(&id()));
}

#[test]
fn closed_needs_refusal_with_valid_time() {
    let state = instance();
    let after = |value| [("Retry-After", value)];
    record_notices(&state, &id(), 1, &response(200, &after("5")), "response");
    record_notices(&state, &id(), 1, &response(503, &after("soon")), "response");
    record_notices(&state, &id(), 1, &response(503, &after("-3")), "response");
    record_notices(&state, &id(), 1, &response(503, &[]), "response");
    assert!(is_usable(&state));
    record_notices(&state, &id(), 1, &response(503, &after("0.05")), "response");
    assert!(!is_usable(&state));
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert!(is_usable(&state));
    record_notices(&state, &id(), 1, &response(503, &after("1e9")), "response");
    put(&state, 2);
    assert!(is_usable(&state), "a later process");
}
