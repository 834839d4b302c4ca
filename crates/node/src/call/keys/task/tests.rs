//! Guards against keys that stay claimed by calls that are gone, and replies that reach another claim.

use super::*;

const K: KeyHash = [7; 16];

#[test]
fn claim_of_gone_caller_is_freed() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        let (reply, gone) = oneshot::channel();
        drop(gone);
        keys.claims.send(KeyMsg::Claim(K, reply)).await.unwrap();
        assert_eq!(keys.claim(K).await, Some(KeyState::Fresh));
    });
}

#[test]
fn answer_reaches_its_claim() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        let (first, first_answer) = keys.expect();
        let (second, second_answer) = keys.expect();
        keys.answer(second, KeyState::Done);
        keys.answer(first, KeyState::Fresh);
        assert_eq!(first_answer.await, Ok(KeyState::Fresh));
        assert_eq!(second_answer.await, Ok(KeyState::Done));
    });
}

#[test]
fn answer_after_forget() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        let (seq, answer) = keys.expect();
        keys.forget(seq);
        keys.answer(seq, KeyState::Fresh);
        assert!(answer.await.is_err());
    });
}
