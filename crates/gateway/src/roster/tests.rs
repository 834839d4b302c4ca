use model::Time;

use super::*;
use crate::example::state;

fn member(index: u8) -> Member {
    let mut member = state(20.0).members.borrow().own().clone();
    member.peer_addr = SocketAddr::from(([10, 1, 9, index], 7_660));
    member.name = model::InstanceId::new(&format!("edge-{index}"));
    member
}

/// Guards against instances that two others know differently for ever.
#[test]
fn fetched_roster_makes_rosters_equal() {
    let (here, there) = (state(20.0), state(20.0));
    let now = Time(60_000_000);
    let own = here.members.borrow().own().clone();
    *there.members.borrow_mut() = balance::Members::new(own);
    let collector = member(1);
    here.members.borrow_mut().record_heard(member(7), Time(0));
    for index in 1..5 {
        there.members.borrow_mut().record_heard(member(index), now);
    }
    let listed = decode(&encode_roster(&there)).unwrap();
    apply_roster(&here, collector.peer_addr, listed, now);
    let prints = |state: &State| state.members.borrow().fingerprint();
    assert_eq!(
        prints(&here),
        prints(&there),
        "the unlisted instance is gone"
    );
}

#[test]
fn decode_rejects_malformed_roster() {
    let bytes = encode_roster(&state(20.0));
    assert!(decode(&bytes).is_some());
    assert!(decode(&bytes[..bytes.len() - 1]).is_none());
    assert!(decode(&[7; 40]).is_none());
}
