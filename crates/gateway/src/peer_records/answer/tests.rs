use super::*;
use crate::{
    example::state,
    orders_apply::{Source, apply_orders},
    wire_format::decode,
};

fn position(offset: u64) -> Position {
    Position { era: 1, offset }
}

/// Returns an instance that has listed the records before `offset`, one of them a zone out.
fn listed(offset: u64) -> std::rc::Rc<State> {
    let state = state(20.0);
    *state.config.borrow_mut() = Some(std::rc::Rc::default());
    let record = Record {
        position: position(offset - 1),
        key: String::from("evacuate/b"),
        value: b"{}".to_vec(),
    };
    apply_orders(&state, &[record], Source::Listing);
    state.operator_next.set(position(offset));
    state
}

/// Guards against an instance that has just started and can tell others nothing of what it has listed.
#[test]
fn of_lists_what_it_cannot_relay() {
    let state = listed(9);
    let records = PeerRecords::of(&state, position(3), 0).unwrap();
    assert!(records.is_listing);
    assert_eq!((records.next, records.records.len()), (position(9), 1));
    let up_to_date = PeerRecords::of(&state, position(9), 0).unwrap();
    assert!(!up_to_date.is_listing && up_to_date.records.is_empty());
    let bytes = encode_to_vec(&records, standard()).unwrap();
    assert_eq!(PeerRecords::decode(&bytes), Some(records));
    assert_eq!(decode::<PeerRecords>(&bytes[1..bytes.len() - 1]), None);
}

/// Guards against a listing that lacks what a store has lost that has come back from an earlier copy.
#[test]
fn of_restored_store_is_no_listing() {
    let state = listed(9);
    state.era_since.set(Some(state.now()));
    assert_eq!(PeerRecords::of(&state, position(3), 0), None);
}
