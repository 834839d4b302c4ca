//! Guards against proposals that are accepted although an earlier one excludes them, and against
//! moves with two verdicts.

use model::{Code, Tenant};
use wire::{Body, Verdict};

use crate::{
    Scope, State,
    samples::{
        DEADLINE_TIME, MOVE_ID, code, config, moving, push, push_record, record, step,
        step_to_full, stop, text, verdict,
    },
};

fn move_state(state: &State) -> &crate::MoveState {
    state.fold().services[&"orders".into()]
        .last_move
        .as_ref()
        .unwrap()
}

#[test]
fn document_first_valid_wins() {
    let mut state = State::default();
    let doc = text(&["orders"], &[]);
    assert_eq!(
        code(&mut state, "p-1", config("a", 0, "weight = 3")),
        Code::Invalid
    );
    assert_eq!(
        code(&mut state, "p-2", config("a", 0, &doc)),
        Code::Accepted
    );
    assert_eq!(code(&mut state, "p-3", config("a", 0, &doc)), Code::Stale);
    assert_eq!(
        code(&mut state, "p-2", config("a", 2, &doc)),
        Code::Repeated
    );
    assert_eq!(
        code(&mut state, "p-4", config("a", 2, &doc)),
        Code::Accepted
    );
    assert_eq!(state.fold().tenants[&"a".into()].revision, 5);
}

#[test]
fn document_rejected_as_a_whole() {
    let mut state = State::default();
    let doc = text(&["orders"], &[]);
    code(&mut state, "p-1", config("a", 0, &doc));
    let both = text(&["orders", "patterns"], &[]);
    assert_eq!(
        code(&mut state, "p-2", config("b", 0, &both)),
        Code::OtherTenant
    );
    assert!(!state.fold().services.contains_key(&"patterns".into()));
    assert!(!state.fold().tenants.contains_key(&"b".into()));
}

/// A tenant must not be able to block another tenant's proposal by using its id first, or to query
/// its outcome by that id.
#[test]
fn document_ids_are_separate_for_each_tenant() {
    let mut state = State::default();
    code(&mut state, "p-1", config("a", 0, "weight = 3"));
    let doc = text(&["orders"], &[]);
    assert_eq!(
        code(&mut state, "p-1", config("b", 0, &doc)),
        Code::Accepted
    );
    let proposal = |t: &str| {
        state
            .proposal(&Scope::Tenant(Tenant::new(t)), "p-1")
            .unwrap()
    };
    assert_eq!(
        (proposal("a").code, proposal("a").offset),
        (Code::Invalid, 1)
    );
    assert_eq!(
        (proposal("b").code, proposal("b").offset),
        (Code::Accepted, 2)
    );
}

#[test]
fn document_service_dropped_keeps_owner() {
    let mut state = State::default();
    code(&mut state, "p-1", config("a", 0, &text(&["orders"], &[])));
    code(&mut state, "p-2", config("a", 1, &text(&["patterns"], &[])));
    let orders = text(&["orders"], &[]);
    assert_eq!(
        code(&mut state, "p-3", config("b", 0, &orders)),
        Code::OtherTenant
    );
    assert!(!state.fold().services[&"orders".into()].configured);
}

#[test]
fn apply_unreadable_records() {
    let mut state = State::default();
    let line = record("p-1", config("a", 0, "")).encode().unwrap();
    assert_eq!(state.apply(1, "noise").code, Code::Foreign);
    assert_eq!(state.apply(2, &line[..line.len() - 1]).code, Code::Checksum);
    assert_eq!(state.apply(3, "").code, Code::Foreign);
    let long = "x".repeat(wire::MAX_RECORD_BYTES + 1);
    assert_eq!(state.apply(4, &long).code, Code::RecordTooLarge);
    assert_eq!(state.fold().skipped.values().sum::<u64>(), 4);
    assert_eq!(state.offset(), 4);
}

#[test]
fn apply_long_id() {
    let mut state = State::default();
    let id = "é".repeat(200);
    assert_eq!(code(&mut state, &id, config("a", 0, "")), Code::Invalid);
    assert!(state.audit().all(|e| e.id.len() <= 256));
}

#[test]
fn zone_out_and_back() {
    let mut state = State::default();
    let zone = |base, out| Body::Zone {
        zone: "z".into(),
        base,
        out,
    };
    assert_eq!(code(&mut state, "z-1", zone(0, true)), Code::Accepted);
    assert_eq!(code(&mut state, "z-2", zone(0, false)), Code::Stale);
    assert!(state.fold().zones[&"z".into()].out);
    assert_eq!(code(&mut state, "z-3", zone(1, false)), Code::Accepted);
    assert!(!state.fold().zones[&"z".into()].out);
}

#[test]
fn move_document_rules() {
    let doc = |version, clock, retry| text(&["orders"], &[("orders", version, clock, retry)]);
    let mut state = State::default();
    let near = doc("v2", "00:00:04", false);
    assert_eq!(
        code(&mut state, "p-1", config("a", 0, &near)),
        Code::DeadlineTooNear
    );
    let same = doc("v1", DEADLINE_TIME, false);
    assert_eq!(
        code(&mut state, "p-2", config("a", 0, &same)),
        Code::Invalid
    );
    let first = doc("v2", DEADLINE_TIME, false);
    assert_eq!(
        code(&mut state, "p-3", config("a", 0, &first)),
        Code::Accepted
    );
    let other = doc("v3", DEADLINE_TIME, false);
    assert_eq!(
        code(&mut state, "p-4", config("a", 3, &other)),
        Code::MoveConflict
    );
    assert_eq!(
        code(&mut state, "p-5", config("a", 3, &first)),
        Code::Accepted
    );
    assert_eq!(move_state(&state).started, 3, "the same move continues");
    let without = text(&["orders"], &[]);
    assert_eq!(
        code(&mut state, "p-6", config("a", 5, &without)),
        Code::Accepted
    );
    assert_eq!(
        move_state(&state).outcome.as_ref().unwrap().reason,
        "cancelled"
    );
    assert_eq!(
        code(&mut state, "p-7", config("a", 6, &first)),
        Code::Decided
    );
    assert_eq!(
        code(&mut state, "p-8", config("a", 6, &other)),
        Code::Accepted
    );
    assert_eq!(
        code(&mut state, "p-9", config("a", 8, &without)),
        Code::Accepted
    );
    assert_eq!(
        code(&mut state, "p-10", config("a", 9, &first)),
        Code::Decided
    );
}

#[test]
fn move_barred_until_retry() {
    let doc = |clock, retry| text(&["orders"], &[("orders", "v2", clock, retry)]);
    let mut state = moving();
    code(&mut state, "s", stop());
    assert_eq!(
        state.fold().services[&"orders".into()].barred,
        ["v2".into()]
    );
    code(&mut state, "u", verdict(Verdict::Undone, "errors"));
    assert_eq!(
        code(
            &mut state,
            "p-2",
            config("sacaria", 1, &doc("00:02:00", false))
        ),
        Code::VersionBarred
    );
    assert_eq!(
        code(
            &mut state,
            "p-3",
            config("sacaria", 1, &doc(DEADLINE_TIME, true))
        ),
        Code::Decided
    );
    assert_eq!(
        code(
            &mut state,
            "p-4",
            config("sacaria", 1, &doc("00:02:00", true))
        ),
        Code::Accepted
    );
    assert!(state.fold().services[&"orders".into()].barred.is_empty());
    assert!(move_state(&state).is_open());
}

#[test]
fn step_rules() {
    let mut state = moving();
    assert_eq!(code(&mut state, "a", step(0, 500)), Code::Invalid);
    assert_eq!(code(&mut state, "b", step(0, 100)), Code::Accepted);
    assert_eq!(code(&mut state, "c", step(0, 100)), Code::Stale);
    assert_eq!(code(&mut state, "d", step(100, 0)), Code::Invalid);
    let unknown_move = Body::Step {
        plan: "gone/v2/1".to_owned(),
        from: 0,
        to: 100,
    };
    assert_eq!(code(&mut state, "e", unknown_move), Code::Invalid);
    assert_eq!(code(&mut state, "f", stop()), Code::Accepted);
    assert_eq!(move_state(&state).share, 0);
    assert_eq!(code(&mut state, "g", step(0, 100)), Code::Decided);
    assert_eq!(code(&mut state, "h", stop()), Code::Repeated);
}

#[test]
fn verdict_first_wins() {
    let mut state = moving();
    assert_eq!(
        code(&mut state, "a", verdict(Verdict::Done, "good")),
        Code::Invalid
    );
    step_to_full(&mut state);
    assert_eq!(
        code(&mut state, "b", verdict(Verdict::Done, "good")),
        Code::Accepted
    );
    assert_eq!(
        code(&mut state, "c", verdict(Verdict::Undone, "deadline")),
        Code::Decided
    );
    assert_eq!(code(&mut state, "d", stop()), Code::Decided);
    assert_eq!(code(&mut state, "e", step(5_000, 10_000)), Code::Decided);
    let service = &state.fold().services[&"orders".into()];
    assert_eq!((service.version.as_str(), service.barred.len()), ("v2", 0));
    let again = text(&["orders"], &[("orders", "v2", DEADLINE_TIME, false)]);
    assert_eq!(
        code(&mut state, "p-2", config("sacaria", 1, &again)),
        Code::Accepted
    );
    assert!(
        !move_state(&state).is_open(),
        "a document that still lists a decided move must not start it again"
    );
}

#[test]
fn verdict_undone_bars_the_version() {
    let mut state = moving();
    step_to_full(&mut state);
    code(&mut state, "a", verdict(Verdict::Undone, "deadline"));
    let service = &state.fold().services[&"orders".into()];
    assert_eq!(service.barred, ["v2".into()]);
    assert_eq!(
        (service.version.as_str(), move_state(&state).share),
        ("v1", 0)
    );
}

#[test]
fn verdict_done_after_stop_or_deadline() {
    let mut state = moving();
    step_to_full(&mut state);
    let mut late = record("a", verdict(Verdict::Done, "good"));
    late.at = late.at.plus_ms(60_001);
    assert_eq!(push_record(&mut state, &late).code, Code::Invalid);
    code(&mut state, "b", stop());
    assert_eq!(
        code(&mut state, "c", verdict(Verdict::Done, "good")),
        Code::Decided
    );
    assert_eq!(
        code(&mut state, "d", verdict(Verdict::Undone, "errors")),
        Code::Accepted
    );
    assert_eq!(state.fold().find_move(MOVE_ID).unwrap().1.share, 0);
}

#[test]
fn audit_bounded_by_age_and_wrong_clock() {
    let mut state = State::default();
    let add = |state: &mut State, n: u64, day: u64| {
        let mut one = record(&format!("p-{n}"), config("a", 9, ""));
        one.at = one.at.plus_ms(day * 86_400_000);
        push_record(state, &one);
    };
    (0..30).for_each(|day| add(&mut state, day, day));
    add(&mut state, 30, 3_650);
    add(&mut state, 31, 31);
    let ids: Vec<&str> = state.audit().map(|e| e.id.as_str()).collect();
    assert_eq!(
        (ids.len(), ids[0]),
        (31, "p-1"),
        "only the entry of day 0 is too old"
    );
    (32..64).for_each(|n| add(&mut state, n, n));
    let ids: Vec<&str> = state.audit().map(|e| e.id.as_str()).collect();
    assert_eq!(
        (ids.len(), ids[0]),
        (31, "p-33"),
        "entries must not be kept too long after a wrong clock"
    );
    for n in 0..5 {
        push(&mut state, &format!("q-{n}"), config("a", 9, ""));
    }
    let entry = state.audit().last().unwrap();
    assert_eq!(
        (entry.author.as_str(), entry.base, entry.code),
        ("ana", 9, Code::Stale)
    );
    assert_eq!(entry.what, "document of 0 bytes");
}
