//! Guards against torn or foreign records that pass as valid ones.

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
    let mut big = record();
    big.id = "x".repeat(MAX_RECORD_BYTES);
    assert_eq!(big.encode().unwrap_err().code, Code::RecordTooLarge);
}

proptest! {
    #[test]
    fn decode_torn_line(keep in 0_usize..120) {
        let line = record().encode().unwrap();
        let cut: String = line.chars().take(keep).collect();
        prop_assume!(cut.len() < line.len());
        prop_assert!(Record::decode(&cut).is_err());
    }

    #[test]
    fn decode_any_line(line in "(hw1 )?\\PC{0,200}") {
        let _ = Record::decode(&line);
    }
}
