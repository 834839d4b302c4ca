use std::rc::Rc;

use balance::TargetEntry;
use h1::Headers;
use model::{ServiceName, Version, Zone};

use super::*;
use crate::example::state;

const BORN: u64 = 7;

/// Returns the state of an instance that knows the target `t`.
fn instance() -> Rc<State> {
    let state = state(1_000.0);
    put(&state, BORN);
    state
}

fn put(state: &State, born: u64) {
    let entry = TargetEntry {
        id: TargetId::new("t"),
        service: ServiceName::new("s"),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: Zone::new("a"),
        version: Version::new("v1"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born,
    };
    state.targets.borrow_mut().put(entry, state.now());
}

fn respond(state: &State, limit: Option<&str>) {
    let mut headers = Headers::default();
    if let Some(value) = limit {
        headers.push("Server-Limit", value.as_bytes());
    }
    let response = Response {
        status: 200,
        reason: String::from("OK"),
        headers,
        body: Vec::new(),
        keep_alive: true,
    };
    record_stated_limit(state, &TargetId::new("t"), &response, "response");
}

fn rate(state: &State) -> Option<f64> {
    let targets = state.targets.borrow();
    targets.get(&TargetId::new("t"))?.limit.rate(state.now())
}

/// Guards against instances that learn of a limit, or of its end, by their own requests only.
#[test]
fn reports_carry_limit_and_its_end() {
    let (a, b) = (instance(), instance());
    let tell = || apply_limit_reports(&b, &take_limit_reports(&a), a.instance_id());
    respond(&a, Some("2.4"));
    tell();
    assert_eq!(rate(&b), Some(2.4));
    assert!(take_limit_reports(&a).is_empty(), "told already");
    respond(&a, None);
    tell();
    assert_eq!(rate(&b), None);
}

/// Guards against a limit that a target's earlier process stated.
#[test]
fn limit_of_earlier_process_does_not_count() {
    let (a, b) = (instance(), instance());
    respond(&a, Some("2"));
    let reports = take_limit_reports(&a);
    put(&b, BORN + 1);
    apply_limit_reports(&b, &reports, a.instance_id());
    assert_eq!(rate(&b), None);
    put(&a, BORN + 1);
    assert_eq!(rate(&a), None);
}

/// Guards against a malformed value that counts as the end of a limit, and against a report that no
/// instance of this release sends.
#[test]
fn malformed_values_change_nothing() {
    let state = instance();
    respond(&state, Some("2"));
    for value in ["", "-1", "nan", "inf", "x"] {
        respond(&state, Some(value));
        assert_eq!(rate(&state), Some(2.0), "{value:?}");
    }
    for rate in [f64::NAN, -1.0, f64::INFINITY] {
        let report = LimitReport {
            target: TargetId::new("t"),
            born: BORN,
            rate: Some(rate),
            age_ms: 0,
        };
        apply_limit_reports(&state, &[report], &InstanceId::new("b"));
    }
    assert_eq!(rate(&state), Some(2.0));
}
