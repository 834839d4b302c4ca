use super::*;
use crate::example::state;

fn position(offset: u64) -> Position {
    Position { era: 1, offset }
}

/// Guards against an instance that counts as current because another one has read further.
#[test]
fn record_operator_as_of_needs_same_records() {
    let state = state(20.0);
    state.operator_next.set(position(5));
    record_operator_as_of(&state, position(6), Time(9));
    assert_eq!(state.operator_as_of.get(), Time(0));
    record_operator_as_of(&state, position(5), Time(7));
    assert_eq!(state.operator_as_of.get(), Time(7));
}

/// Guards against an age that grows because of a late datagram, and against one that ignores an
/// instance which has read less and knows that there was nothing more.
#[test]
fn record_operator_as_of_keeps_latest() {
    let state = state(20.0);
    state.operator_next.set(position(5));
    record_operator_as_of(&state, position(5), Time(7));
    record_operator_as_of(&state, position(5), Time(6));
    assert_eq!(state.operator_as_of.get(), Time(7));
    record_operator_as_of(&state, position(4), Time(8));
    assert_eq!(state.operator_as_of.get(), Time(8));
}
