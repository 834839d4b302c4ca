//! Slot lending, as borrower and as lender.

use model::InstanceId;
use wire::LoanMsg;

use super::bed::*;
use crate::{AttemptEnd, Event, message_priority::MessagePriority};

const WANT: LoanMsg = LoanMsg::Want {
    waiting: 1,
    tight: 1,
};

fn grant(loan: u64) -> LoanMsg {
    LoanMsg::Grant {
        target: "t-0".into(),
        loan,
        hold_ms: 2_000,
    }
}

/// Returns the return of a loan on which `good` calls succeeded.
fn returned(loan: u64, good: u32) -> LoanMsg {
    LoanMsg::Return {
        loan,
        good,
        bad: 0,
        busy_us: u64::from(good) * 10_000,
        draining: false,
        cold: false,
    }
}

/// Returns an instance that owns no target; `other` owns `t-0`.
fn borrower() -> TestBed {
    let mut view = view(vec![target(0, "other")]);
    view.owners = vec!["other".into()];
    TestBed::warm_with(view)
}

/// Returns the number of the last loan that was granted.
fn loan_of(out: &[crate::Action]) -> u64 {
    let grants = sent(out).into_iter().filter_map(|(_, msg)| match msg {
        LoanMsg::Grant { loan, .. } => Some(loan),
        _ => None,
    });
    grants
        .last()
        .unwrap_or_else(|| panic!("no grant in {out:?}"))
}

/// Guards against calls that wait at an instance without targets while owners have idle slots.
#[test]
fn borrow_use_again_and_return() {
    let mut bed = borrower();
    assert_eq!(sent(&bed.arrive(URGENT)), [("other".into(), WANT)]);
    let out = bed.peer("other", grant(5));
    let first = starts(&out).remove(0);
    bed.arrive(URGENT);
    let out = bed.finish(&first, AttemptEnd::Good);
    let second = starts(&out).pop().expect("the loan is used again");
    let out = bed.finish(&second, AttemptEnd::Good);
    let back = sent(&out).into_iter().map(|(_, msg)| msg);
    assert!(matches!(
        back.last(),
        Some(LoanMsg::Return {
            loan: 5,
            good: 2,
            ..
        })
    ));
    assert!(bed.dispatcher.borrowed.is_empty());
}

/// Guards against further use of a loan that was recalled.
#[test]
fn borrow_recalled_loan_ends() {
    let mut bed = borrower();
    bed.arrive(URGENT);
    let first = starts(&bed.peer("other", grant(5))).remove(0);
    bed.arrive(URGENT);
    bed.peer("other", LoanMsg::Recall { loan: 5 });
    let out = bed.finish(&first, AttemptEnd::Good);
    assert!(starts(&out).is_empty());
    assert!(
        sent(&out)
            .iter()
            .any(|(_, m)| matches!(m, LoanMsg::Return { loan: 5, .. }))
    );
}

/// Guards against two uses of one slot when a grant is repeated or arrives after its recall.
#[test]
fn borrow_repeated_and_overtaken_grants() {
    let mut bed = borrower();
    (0..3).for_each(|_| drop(bed.arrive(URGENT)));
    assert_eq!(starts(&bed.peer("other", grant(5))).len(), 1);
    assert!(
        starts(&bed.peer("other", grant(5))).is_empty(),
        "one slot was used twice"
    );
    let out = bed.peer("other", LoanMsg::Recall { loan: 8 });
    assert_eq!(
        sent(&out)[0].1,
        returned(8, 0),
        "a lost grant leaks its slot"
    );
    let out = bed.peer("other", grant(8));
    assert!(starts(&out).is_empty(), "a returned loan was used");
}

/// Guards against calls that run on a loan after the lender took the slot back.
#[test]
fn borrow_only_calls_that_end_in_time() {
    let mut bed = borrower();
    let mut call = bed.call(URGENT);
    call.deadline = bed.now.plus_ms(2_001);
    bed.handle(Event::Arrive(call));
    let out = bed.peer("other", grant(5));
    assert!(starts(&out).is_empty());
    assert!(sent(&out).contains(&("other".into(), returned(5, 0))));
}

/// Guards against reuse of slots whose lender is disconnected or no longer owns the target.
#[test]
fn borrow_lender_gone() {
    for lost in [true, false] {
        let mut bed = borrower();
        bed.arrive(URGENT);
        let first = starts(&bed.peer("other", grant(5))).remove(0);
        if lost {
            let peer = InstanceId::new("other");
            bed.handle(Event::PeerDown { peer });
        } else {
            bed.set_target(0, |t| t.owner = "third".into());
        }
        bed.arrive(URGENT);
        assert!(starts(&bed.finish(&first, AttemptEnd::Good)).is_empty());
    }
}

/// Guards against slots lent twice, idle slots that are not lent, and requests that are forgotten
/// while no slot is idle.
#[test]
fn lend_idle_slots_when_they_come() {
    let mut bed = TestBed::warm(1);
    let running: Vec<_> = (0..3).map(|_| bed.start(URGENT)).collect();
    assert!(sent(&bed.peer("peer", WANT)).is_empty());
    let out = bed.finish(&running[0], AttemptEnd::Good);
    let loan = loan_of(&out);
    assert!(
        starts(&bed.arrive(URGENT)).is_empty(),
        "a lent slot was used"
    );
    let out = bed.peer("peer", returned(loan, 1));
    assert_eq!(starts(&out).len(), 1);
    assert_eq!(bed.dispatcher.stats().loans_out, 1);
}

/// Guards against loans for requests that were withdrawn or have expired.
#[test]
fn lend_withdrawn_and_expired_requests() {
    for withdrawn in [true, false] {
        let mut bed = TestBed::warm(1);
        let running: Vec<_> = (0..3).map(|_| bed.start(URGENT)).collect();
        bed.peer("peer", WANT);
        if withdrawn {
            bed.peer(
                "peer",
                LoanMsg::Want {
                    waiting: 0,
                    tight: 0,
                },
            );
        } else {
            bed.now = bed.now.plus_ms(50);
        }
        assert!(sent(&bed.finish(&running[0], AttemptEnd::Good)).is_empty());
    }
}

/// Guards against bulk calls of peers that take the slots reserved for urgent calls.
#[test]
fn lend_reserved_slots_to_tight_calls_only() {
    let mut bed = TestBed::warm(2);
    let loose = LoanMsg::Want {
        waiting: 9,
        tight: 0,
    };
    assert_eq!(sent(&bed.peer("peer", loose)).len(), 5);
    let tight = LoanMsg::Want {
        waiting: 9,
        tight: 9,
    };
    assert_eq!(sent(&bed.peer("peer", tight)).len(), 1);
}

/// Guards against a borrower that keeps slots while the lender's urgent calls wait.
#[test]
fn recall_while_own_calls_wait() {
    let mut bed = TestBed::warm(1);
    let loan = loan_of(&bed.peer("peer", WANT));
    (0..2).for_each(|_| drop(bed.start(URGENT)));
    let out = bed.arrive(URGENT);
    assert!(sent(&out).contains(&("peer".into(), LoanMsg::Recall { loan })));
    assert_eq!(sent(&bed.tick()).len(), 0, "recalled twice");
}

/// Guards against slots that stay lent because a message was lost, and against reuse of a slot
/// before its loan has expired.
#[test]
fn reclaim_after_hold_and_slack() {
    let mut bed = TestBed::warm(1);
    let loan = loan_of(&bed.peer("peer", WANT));
    let loan_ms = bed.dispatcher.loan_duration_ms(true);
    let out = bed.advance(loan_ms + 249);
    let asked = sent(&out)
        .into_iter()
        .filter(|(_, m)| *m == LoanMsg::Recall { loan });
    assert!(asked.count() >= 1, "the loan was not recalled");
    assert_eq!(bed.dispatcher.in_use().values().sum::<u32>(), 1);
    bed.advance(1);
    assert!(bed.dispatcher.in_use().is_empty());
    assert_eq!(bed.dispatcher.stats().reclaimed, 1);
    bed.peer("peer", returned(loan, 1));
    assert!(
        bed.dispatcher.in_use().is_empty(),
        "a late return freed a slot twice"
    );
}

/// Guards against a slot that a restarted borrower returns while calls of its predecessor run.
#[test]
fn reclaim_not_asked_after_a_broken_stream() {
    let mut bed = TestBed::warm(1);
    loan_of(&bed.peer("peer", WANT));
    let peer = InstanceId::new("peer");
    bed.handle(Event::PeerDown { peer });
    let loan_ms = bed.dispatcher.loan_duration_ms(true);
    let out = bed.advance(loan_ms + 249);
    assert!(
        sent(&out).is_empty(),
        "the loan was recalled from the new process: {out:?}"
    );
    assert_eq!(bed.dispatcher.in_use().values().sum::<u32>(), 1);
    bed.advance(1);
    assert!(bed.dispatcher.in_use().is_empty());
}

/// Guards against a return by an instance that is not the borrower.
#[test]
fn return_from_another_instance() {
    let mut bed = TestBed::warm(1);
    let loan = loan_of(&bed.peer("peer", WANT));
    bed.peer("stranger", returned(loan, 1));
    assert_eq!(bed.dispatcher.in_use().values().sum::<u32>(), 1);
}

/// Guards against limits that ignore failures which borrowers report.
#[test]
fn return_feeds_limit_and_health() {
    let bad = |loan, draining, cold| LoanMsg::Return {
        loan,
        good: 0,
        bad: 1,
        busy_us: 0,
        draining,
        cold,
    };
    let mut bed = TestBed::warm(1);
    let loan = loan_of(&bed.peer("peer", WANT));
    bed.peer("peer", bad(loan, false, false));
    assert_eq!(bed.limit(0), Some(1));
    let mut bed = TestBed::warm(1);
    let loan = loan_of(&bed.peer("peer", WANT));
    bed.peer("peer", bad(loan, false, true));
    assert_eq!(bed.limit(0), Some(1));
    let loan = loan_of(&bed.peer("peer", WANT));
    let out = bed.peer("peer", bad(loan, true, false));
    assert!(
        out.iter()
            .any(|a| matches!(a, crate::Action::Draining { .. }))
    );
}

/// Spends the message budget as far as messages of the priority may.
fn spend_budget(bed: &mut TestBed, priority: MessagePriority) {
    while bed.dispatcher.message_budget.allows(bed.now, 200, priority) {
        bed.dispatcher.message_budget.spend(1);
    }
}

/// Guards against grants that use up the budget that is kept for returns.
#[test]
fn budget_low() {
    let mut bed = TestBed::warm(1);
    spend_budget(&mut bed, MessagePriority::Normal);
    assert!(
        sent(&bed.peer("peer", WANT)).is_empty(),
        "lent with budget that is kept for returns"
    );
    let out = bed.peer("peer", LoanMsg::Recall { loan: 77 });
    assert_eq!(sent(&out), [("peer".into(), returned(77, 0))]);
}

/// Guards against messages beyond the budget, lost returns when it is spent, and an instance that
/// stops using its own slots.
#[test]
fn budget_spent() {
    let mut bed = TestBed::warm(1);
    spend_budget(&mut bed, MessagePriority::Essential);
    assert_eq!(starts(&bed.arrive(URGENT)).len(), 1);
    while bed
        .dispatcher
        .message_budget
        .allows(bed.now, 1, MessagePriority::Essential)
    {
        bed.dispatcher.message_budget.spend(1);
    }
    let out = bed.peer("peer", LoanMsg::Recall { loan: 77 });
    assert!(sent(&out).is_empty(), "sent without budget");
    bed.now = bed.now.plus_ms(5);
    let back = ("peer".into(), returned(77, 0));
    assert!(sent(&bed.tick()).contains(&back), "a return was lost");
    assert!(bed.dispatcher.stats().held_back > 0);
}

/// Guards against one request message for each queued call.
#[test]
fn want_is_coalesced() {
    let mut view = view((10..34).map(|n| target(n, "other")).collect());
    view.owners = vec!["other".into()];
    let mut bed = TestBed::warm_with(view);
    let wants = (0..10).flat_map(|_| sent(&bed.arrive(URGENT))).count();
    assert_eq!(wants, 1);
    bed.now = bed.now.plus_ms(2);
    let out = bed.tick();
    let want = LoanMsg::Want {
        waiting: 10,
        tight: 10,
    };
    assert_eq!(sent(&out), [("other".into(), want)]);
}
