use super::*;

fn member(boot: u64, presence: Presence, heard: Option<Time>) -> Member {
    Member {
        name: InstanceId::new("a"),
        boot,
        zone: Zone::new("z"),
        front: "10.0.0.1:80".parse().unwrap(),
        peer: "10.0.0.1:7000".parse().unwrap(),
        presence,
        heard,
    }
}

const START: Time = Time(5_000_000);

#[test]
fn ready_needs_recent_word() {
    let mut members = Members::default();
    members.hear(member(1, Presence::Ready, Some(START)));
    assert_eq!(members.ready(START.plus_ms(1_900)).len(), 1);
    assert!(members.ready(START.plus_ms(2_100)).is_empty());
}

#[test]
fn ready_leaves_out_leaving_and_only_read_of() {
    let mut members = Members::default();
    members.learn(member(1, Presence::Ready, None));
    assert!(members.ready(START).is_empty());
    members.hear(member(1, Presence::Leaving, Some(START)));
    assert!(members.ready(START).is_empty() && members.names(START).is_empty());
}

#[test]
fn hear_late_word_of_earlier_process() {
    let mut members = Members::default();
    members.hear(member(2, Presence::Ready, Some(START)));
    members.hear(member(1, Presence::Leaving, Some(START)));
    assert_eq!(members.ready(START).len(), 1);
}

/// Guards against instances that never meet because they were told of by others only.
#[test]
fn hinted_addresses_are_tried_until_known() {
    let mut members = Members::default();
    let own = "10.0.0.9:7000".parse().unwrap();
    let other = "10.0.0.1:7000".parse().unwrap();
    members.learn_addresses(&[other, own], own);
    assert_eq!(members.hinted(), [other]);
    members.hear(member(1, Presence::Ready, Some(START)));
    assert!(members.hinted().is_empty());
    let mut silent = Members::default();
    silent.learn_addresses(&[other], own);
    let tries = (0..10).filter(|_| !silent.hinted().is_empty()).count();
    assert_eq!(tries, 3, "an address that never answers is given up");
}
