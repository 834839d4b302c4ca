//! Guards against truncated or foreign records that are decoded as valid ones.

use model::Tenant;
use proptest::prelude::*;

use super::*;

fn record() -> Record {
    Record {
        id: "p-1".to_owned(),
        author: OperatorName::new("ana"),
        at: Wall(7),
        body: Body::Config {
            tenant: Tenant::new("sacaria"),
            base: 0,
            text: "# é".to_owned(),
        },
    }
}

#[test]
fn decode_round_trip() {
    let line = record().encode().unwrap();
    assert_eq!(Record::decode(&line), Ok(record()));
}

#[test]
fn decode_foreign_line() {
    assert_eq!(
        Record::decode("something else").unwrap_err().code,
        Code::Foreign
    );
}

#[test]
fn encode_too_large() {
    let mut oversized = record();
    oversized.id = "x".repeat(MAX_RECORD_BYTES);
    assert_eq!(oversized.encode().unwrap_err().code, Code::RecordTooLarge);
}

proptest! {
    #[test]
    fn decode_truncated_line(len in 0_usize..120) {
        let line = record().encode().unwrap();
        let truncated: String = line.chars().take(len).collect();
        prop_assume!(truncated.len() < line.len());
        prop_assert!(Record::decode(&truncated).is_err());
    }

    /// Guards against panics on any input.
    #[test]
    fn decode_any_line(line in "(hw1 )?\\PC{0,200}") {
        let _ = Record::decode(&line);
    }
}
