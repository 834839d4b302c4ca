use bincode::serde::encode_to_vec;

use super::{messages, *};
use crate::{
    digest::{ReceivedDigest, envelope},
    entries_update::EntriesUpdate,
    peer_forward::RequestFrame,
    report::Report,
    snapshot::Snapshot,
};

/// What the build of commit 8d2dfa1 sent, in hexadecimal digits: name and bytes in each line.
const RECORDED: &str = include_str!("recorded-8d2dfa1.txt");

/// A section of a later release.
const SECTION: [u8; 6] = [9, 0, 3, 1, 2, 3];

fn recorded(name: &str) -> Vec<u8> {
    let lines = RECORDED.lines().map(|line| line.split_once(' ').unwrap());
    let (_, digits) = lines.into_iter().find(|(n, _)| *n == name).unwrap();
    let pairs = digits.as_bytes().chunks(2);
    let bytes = pairs.map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap());
    bytes.collect()
}

fn sent_digest() -> Vec<u8> {
    let parts = messages::digest().encode(1);
    assert_eq!(parts.len(), 1);
    envelope(&parts[0], 12, &["10.1.0.37:7660".parse().unwrap()])
}

/// Guards against two releases that do not understand each other, so that they form two systems while one
/// replaces the other.
#[test]
fn encode_is_as_in_earlier_release() {
    assert_eq!(messages::report().encode(), recorded("report"));
    assert_eq!(sent_digest(), recorded("digest"));
    assert_eq!(messages::update().encode(), recorded("update"));
    assert_eq!(messages::snapshot().encode(), recorded("snapshot"));
    let frame = RequestFrame {
        attempts: 1,
        waited_ms: 30,
        config_version: 5,
    };
    assert_eq!(frame.encode(), recorded("frame"));
}

#[test]
fn decode_takes_messages_of_earlier_release() {
    assert_eq!(
        Report::decode(&recorded("report")),
        Some(messages::report())
    );
    let digest = ReceivedDigest::decode(&recorded("digest")).unwrap();
    assert_eq!(digest.digest, messages::digest());
    assert_eq!(digest.held_ms, 12);
    assert_eq!(
        EntriesUpdate::decode(&recorded("update")),
        Some(messages::update())
    );
    assert_eq!(
        Snapshot::decode(&recorded("snapshot")),
        Some(messages::snapshot())
    );
    let mut frame = recorded("frame");
    assert!(RequestFrame::take(&mut frame).unwrap().is_some());
}

/// Guards against messages of a later release that are dropped because of what this one does not know.
#[test]
fn decode_skips_sections_of_later_release() {
    let with_section = |name: &str| [recorded(name), SECTION.to_vec()].concat();
    assert_eq!(
        Report::decode(&with_section("report")),
        Some(messages::report())
    );
    let digest = ReceivedDigest::decode(&with_section("digest")).unwrap();
    assert_eq!(digest.digest, messages::digest());
    // Instances of the later release get what is forwarded as a whole.
    assert!(digest.encoded.ends_with(&SECTION));
    assert_eq!(
        EntriesUpdate::decode(&with_section("update")),
        Some(messages::update())
    );
    assert_eq!(
        Snapshot::decode(&with_section("snapshot")),
        Some(messages::snapshot())
    );
}

#[test]
fn decode_rejects_what_is_no_section() {
    let message = encode_to_vec(7_u32, standard()).unwrap();
    for (rest, is_valid) in [
        (&[][..], true),
        (&SECTION, true),
        (&[1, 0, 0, 255, 0, 1, 7], true),
        (&[0], false),
        (&[0, 0, 0], false),
        (&[1, 0], false),
        (&[1, 0, 2, 5], false),
    ] {
        let bytes = [&message, rest].concat();
        assert_eq!(decode::<u32>(&bytes).is_some(), is_valid, "{rest:?}");
    }
}
