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
fn reply_reaches_its_claim() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        let (first, first_reply) = keys.register_claim();
        let (second, second_reply) = keys.register_claim();
        keys.deliver_reply(second, KeyState::Done);
        keys.deliver_reply(first, KeyState::Fresh);
        assert_eq!(first_reply.await, Ok(KeyState::Fresh));
        assert_eq!(second_reply.await, Ok(KeyState::Done));
    });
}

#[test]
fn reply_to_removed_claim() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        let (seq, reply) = keys.register_claim();
        keys.remove_claim(seq);
        keys.deliver_reply(seq, KeyState::Fresh);
        assert!(reply.await.is_err());
    });
}
