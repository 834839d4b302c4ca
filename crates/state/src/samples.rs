//! Sample records and states for unit tests.

use model::{Code, OperatorName, Wall};
use wire::{Body, Record, Verdict};

use crate::{Applied, State};

/// Author time of every sample record.
pub(crate) const NOW: Wall = Wall(1_796_342_400_000);

pub(crate) fn record(id: &str, body: Body) -> Record {
    Record {
        id: id.to_owned(),
        author: OperatorName::new("ana"),
        at: NOW,
        body,
    }
}

/// Applies a record at the next offset.
pub(crate) fn push(state: &mut State, id: &str, body: Body) -> Applied {
    push_record(state, &record(id, body))
}

/// Applies `record` at the next offset.
pub(crate) fn push_record(state: &mut State, record: &Record) -> Applied {
    state.apply(state.next_offset(), &record.encode().unwrap())
}

/// Applies a record at the next offset and returns its result code.
pub(crate) fn code(state: &mut State, id: &str, body: Body) -> Code {
    push(state, id, body).code
}

/// Returns a document with `services`, each on v1, and with `moves` of the form (service, version,
/// time of day of the deadline, retry).
pub(crate) fn text(services: &[&str], moves: &[(&str, &str, &str, bool)]) -> String {
    let service = |name: &&str| {
        format!(
            "[[service]]\nname = \"{name}\"\nversion = \"v1\"\n[[service.class]]\nname = \"c\"\n\
             target_ms = 60\ndelay_ms = 20\nidempotent = false\n"
        )
    };
    let move_state = |(name, version, clock, retry): &(&str, &str, &str, bool)| {
        format!(
            "[[move]]\nservice = \"{name}\"\nversion = \"{version}\"\n\
             deadline = 2026-12-04T{clock}Z\nretry = {retry}\n"
        )
    };
    services
        .iter()
        .map(service)
        .chain(moves.iter().map(move_state))
        .collect()
}

pub(crate) fn config(tenant: &str, base: u64, text: &str) -> Body {
    Body::Config {
        tenant: tenant.into(),
        base,
        text: text.to_owned(),
    }
}

/// Id of the move of `orders` to v2 by 00:01:00, 60 s after [`NOW`].
pub(crate) const MOVE_ID: &str = "orders/v2/1796342460000";
/// Time of day of the deadline of that move.
pub(crate) const DEADLINE_TIME: &str = "00:01:00";

pub(crate) fn step(from: u16, to: u16) -> Body {
    Body::Step {
        plan: MOVE_ID.to_owned(),
        from,
        to,
    }
}

pub(crate) fn verdict(verdict: Verdict, reason: &str) -> Body {
    Body::Verdict {
        plan: MOVE_ID.to_owned(),
        verdict,
        reason: reason.to_owned(),
    }
}

pub(crate) fn stop() -> Body {
    Body::Stop {
        service: "orders".into(),
        version: "v2".into(),
        plan: MOVE_ID.to_owned(),
        reason: "errors".to_owned(),
    }
}

/// Returns a state at offset 1 in which `orders` is moving to v2.
pub(crate) fn moving() -> State {
    let mut state = State::default();
    let text = text(&["orders"], &[("orders", "v2", DEADLINE_TIME, false)]);
    assert!(push(&mut state, "p-1", config("sacaria", 0, &text)).is_accepted());
    state
}

/// Applies the steps of the move up to full share.
pub(crate) fn step_to_full(state: &mut State) {
    for (from, to) in [
        (0, 100),
        (100, 500),
        (500, 2_000),
        (2_000, 5_000),
        (5_000, 10_000),
    ] {
        let id = format!("step-{to}");
        assert!(push(state, &id, step(from, to)).is_accepted());
    }
}
