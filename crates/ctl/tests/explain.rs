//! Tests of `hibiscusctl explain` with log files of gateway instances, recorded in runs against the
//! stand-ins of the crate `testkit`.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn explain(id: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscusctl"))
        .args(["explain", id])
        .args(["edge-1.log", "edge-2.log", "edge-7.log"].map(data))
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against an explanation that lacks the state which caused the outcome.
#[test]
fn explain_refused_request_shows_zones_out() {
    let output = explain("0000000000000001");
    assert!(output.status.success(), "{output:?}");
    let explanation = text(&output);
    assert!(
        explanation.contains("event=refused") && explanation.contains("code=3003"),
        "{explanation}"
    );
    for zone in ["a", "b", "c"] {
        assert!(
            explanation.contains(&format!("event=zone_out zone={zone}")),
            "{explanation}"
        );
    }
    assert!(
        explanation.contains("event=config version="),
        "{explanation}"
    );
}

/// Guards against printing the state of one instance for another, and against printing a state that
/// has ended.
#[test]
fn explain_shows_state_of_the_same_instance() {
    let output = explain("00000000000000b2");
    let explanation = text(&output);
    assert!(
        explanation.contains("instance=edge-2") && !explanation.contains("instance=edge-1"),
        "{explanation}"
    );
    assert!(!explanation.contains("zone_out"), "{explanation}");
    assert!(
        explanation.contains("event=sent") && explanation.contains(":lost:"),
        "{explanation}"
    );
}

/// Guards against empty output for a request that no line names.
#[test]
fn explain_reports_unknown_request() {
    let output = explain("ffffffffffffffff");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output).contains("no line about ffffffffffffffff"),
        "{output:?}"
    );
}

/// Guards against a refusal for crashes that names no crash, and against a crash that does not name the
/// request under which it was seen.
#[test]
fn explain_shows_crashes_under_request() {
    let crashed = text(&explain("0000000000000002"));
    for target in ["i-1", "i-4"] {
        let line = crashed.lines().find(|line| {
            line.contains("event=crash_suspected") && line.contains(&format!("target_id={target}"))
        });
        assert!(line.is_some(), "{crashed}");
    }
    let refused = text(&explain("0000000000000005"));
    assert!(refused.contains("code=3013"), "{refused}");
    assert!(
        refused.contains("event=crash_confirmed key=e34a0865d0901630 crashes=3"),
        "{refused}"
    );
}
