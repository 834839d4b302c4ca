//! Guards against frames whose decoding panics, allocates much memory or yields another message.

use proptest::prelude::*;

use super::*;

#[test]
fn decode_round_trip() {
    let msg = PeerMsg::Loan {
        service: ServiceName::new("orders"),
        msg: LoanMsg::Grant {
            target: TargetId::new("t-1"),
            loan: 7,
            hold_ms: 900,
        },
    };
    let bytes = msg.encode().unwrap();
    assert_eq!(PeerMsg::decode(&bytes), Ok(msg));
}

#[test]
fn decode_trailing_bytes() {
    let mut bytes = PeerMsg::Fetch { from: 3 }.encode().unwrap();
    bytes.push(0);
    assert!(PeerMsg::decode(&bytes).is_err());
}

#[test]
fn encode_too_large() {
    let data = "x".repeat(MAX_FRAME_BYTES);
    let msg = PeerMsg::Records {
        records: vec![LogEntry { offset: 1, data }],
    };
    assert!(msg.encode().is_err());
}

proptest! {
    /// Guards against panics, and against decoded messages that cannot be encoded.
    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(msg) = PeerMsg::decode(&bytes) {
            prop_assert!(msg.encode().is_ok());
        }
    }
}
