//! Guards against frames that are lost or mixed when reads split them, and against forged lengths.

use proptest::prelude::*;

use super::*;

fn messages() -> Vec<PeerMsg> {
    (0..20)
        .map(|from| PeerMsg::Fetch {
            from: from * 1_000_003,
        })
        .collect()
}

proptest! {
    #[test]
    fn next_any_split(cuts in proptest::collection::vec(1_usize..9, 1..200)) {
        let mut bytes = BytesMut::new();
        for msg in messages() {
            write_frame(&msg, &mut bytes).unwrap();
        }
        let mut reader = FrameReader::default();
        let mut found = Vec::new();
        let mut cuts = cuts.into_iter().cycle();
        while !bytes.is_empty() {
            let cut = cuts.next().unwrap().min(bytes.len());
            reader.push(&bytes.split_to(cut));
            while let Some(msg) = reader.next().unwrap() {
                found.push(msg);
            }
        }
        prop_assert_eq!(found, messages());
    }

    #[test]
    fn next_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next() {}
    }
}

#[test]
fn next_forged_length() {
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_le_bytes());
    assert_eq!(reader.next().unwrap_err().code, Code::BadFrame);
}
