//! Guards against a response that states "not run" for a call that an upstream may have run, which is
//! the violation with code 9006.

use super::*;

#[test]
fn conclude_nothing_sent() {
    let failure = conclude(&Ledger::default(), Code::CannotMeet, 50, None);
    assert_eq!(failure.outcome(), Outcome::NotRun);
    assert_eq!((failure.code(), failure.retry_ms()), (Code::CannotMeet, 50));
}

#[test]
fn conclude_sent_then_refused_locally() {
    let ledger = Ledger::default();
    ledger.record_sent();
    let failure = conclude(&ledger, Code::CannotMeet, 50, Some(Code::ShortBody));
    assert_eq!(failure.code(), Code::ShortBody);
    assert_eq!(failure.outcome(), Outcome::Unknown);
}

#[test]
fn conclude_refused_by_upstream() {
    let ledger = Ledger::default();
    ledger.record_sent();
    ledger.record_refused();
    let failure = conclude(&ledger, Code::UpstreamRefused, 0, None);
    assert_eq!(failure.outcome(), Outcome::NotRun);
}

#[test]
fn conclude_one_of_two_refused() {
    let ledger = Ledger::default();
    ledger.record_sent();
    ledger.record_sent();
    ledger.record_refused();
    let failure = conclude(&ledger, Code::UpstreamRefused, 0, Some(Code::ConnectFailed));
    assert_eq!(failure.outcome(), Outcome::Unknown);
}
