//! Guards against proposals that are appended again before the log was read, and against operators
//! that never get an answer.

use async_std::channel::bounded;
use model::{OperatorName, Tenant, Wall};
use wire::Body;

use super::*;

fn record(id: &str) -> Record {
    let body = Body::Config {
        tenant: Tenant::new("t"),
        base: 0,
        text: String::new(),
    };
    Record {
        id: id.to_owned(),
        author: OperatorName::new("ana"),
        at: Wall(0),
        body,
    }
}

fn scope() -> Scope {
    Scope::Tenant(Tenant::new("t"))
}

#[test]
fn take_missing_after_two_reads() {
    let mut proposals = Proposals::default();
    let (reply, _answers) = bounded(1);
    proposals.add(Time(0), scope(), record("p"), reply);
    proposals.record_append_ended(&["p".to_owned()]);
    proposals.record_log_end();
    assert!(proposals.take_missing().is_empty());
    proposals.record_log_end();
    assert_eq!(proposals.take_missing(), [record("p")]);
    assert!(proposals.take_missing().is_empty());
}

#[test]
fn decide_lost_answer_without_second_append() {
    let mut proposals = Proposals::default();
    let (reply, answers) = bounded(1);
    proposals.add(Time(0), scope(), record("p"), reply);
    proposals.record_append_ended(&["p".to_owned()]);
    let answer = ProposalAnswer {
        code: Code::Accepted,
        offset: Some(4),
        ..pending("p")
    };
    proposals.decide(&scope(), &answer);
    proposals.record_log_end();
    proposals.record_log_end();
    assert!(proposals.take_missing().is_empty());
    assert_eq!(answers.try_recv(), Ok(answer));
}

#[test]
fn tick_answers_pending_once() {
    let mut proposals = Proposals::default();
    let (reply, answers) = bounded(1);
    proposals.add(Time(0), scope(), record("p"), reply);
    proposals.tick(Time::from_ms(1_999));
    assert!(answers.try_recv().is_err());
    proposals.tick(Time::from_ms(2_000));
    assert_eq!(answers.try_recv(), Ok(pending("p")));
    assert!(proposals.is_waiting(&scope(), "p"));
}
