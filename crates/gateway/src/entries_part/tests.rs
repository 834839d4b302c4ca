use super::*;

fn gone(at: u64) -> (u64, EntryChange) {
    (
        at,
        EntryChange::Gone(TargetId::new(&format!("target-{at}"))),
    )
}

#[test]
fn datagrams_cover_all_offsets_in_order() {
    let changes: Vec<_> = (10..500).map(gone).collect();
    let datagrams = EntriesPart::datagrams(7, 600, changes.clone());
    assert!(datagrams.len() > 1);
    let mut next = 7;
    let mut seen = Vec::new();
    for bytes in datagrams {
        assert!(bytes.len() <= MAX_BYTES);
        let part = EntriesPart::decode(&bytes).unwrap();
        assert_eq!(part.from, next);
        next = part.next;
        seen.extend(part.changes);
    }
    assert_eq!((next, seen), (600, changes));
}

#[test]
fn decode_foreign_datagrams() {
    let bytes = EntriesPart::datagrams(1, 2, vec![gone(1)]).remove(0);
    assert!(EntriesPart::decode(&bytes[1..]).is_none());
    assert!(EntriesPart::decode(&bytes[..bytes.len() - 1]).is_none());
    assert!(EntriesPart::decode(&EntriesPart::datagrams(3, 2, vec![]).remove(0)).is_none());
}
