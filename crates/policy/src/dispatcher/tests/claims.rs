//! Handover of targets between owners.

use wire::LoanMsg;

use super::bed::*;
use crate::AttemptEnd;

/// Returns instance `me`, which claims `t-0` from its previous owner `old`.
fn successor() -> TestBed {
    let mut view = view(vec![target(0, "old")]);
    view.owners = vec!["me".into(), "old".into()];
    let mut bed = TestBed::new(view);
    bed.tick();
    let out = bed.set_target(0, |t| t.owner = "me".into());
    let claim = LoanMsg::Claim {
        view: 2,
        targets: vec!["t-0".into()],
    };
    assert_eq!(sent(&out), [("old".into(), claim)]);
    bed
}

/// Returns the release of `t-0` with `busy` slots in use.
fn release(view: u64, busy: u32, limit: u32) -> LoanMsg {
    LoanMsg::Release {
        view,
        targets: vec![("t-0".into(), busy, limit)],
        kept: Vec::new(),
    }
}

/// Sends `calls` urgent calls. Returns how many calls start.
fn start_count(bed: &mut TestBed, calls: usize) -> usize {
    (0..calls).flat_map(|_| starts(&bed.arrive(URGENT))).count()
}

/// Guards against a new owner that starts calls on slots which the old owner's calls still use.
#[test]
fn claim_counts_calls_of_the_old_owner() {
    let mut bed = successor();
    assert_eq!(start_count(&mut bed, 1), 0, "started before the answer");
    let out = bed.peer("old", release(2, 2, 3));
    assert_eq!(starts(&out).len(), 1);
    assert_eq!(start_count(&mut bed, 1), 0);
    let out = bed.peer("old", release(2, 1, 3));
    assert_eq!(starts(&out).len(), 1, "a finished call was still counted");
    bed.advance(2_300);
    assert_eq!(
        bed.dispatcher.in_use().values().sum::<u32>(),
        2,
        "the count of the old owner's calls did not expire"
    );
}

/// Guards against targets that no instance uses after the loss of their owner, and against a warm
/// start while calls of the old owner may still run.
#[test]
fn claim_unanswered_starts_cold() {
    let mut bed = successor();
    bed.advance(499);
    assert_eq!(start_count(&mut bed, 1), 0);
    let out = bed.advance(1);
    assert_eq!(bed.limit(0), Some(1));
    assert_eq!(starts(&out).len(), 1, "the waiting call did not start");
    assert_eq!(start_count(&mut bed, 1), 0);
}

/// Guards against an old owner that starts calls after a handover, and against one that does not
/// report when its calls end.
#[test]
fn hand_over_stops_and_reports() {
    let mut view = view(vec![target(0, "me")]);
    view.owners = vec!["me".into()];
    let mut bed = TestBed::warm_with(view);
    let started = bed.start(URGENT);
    let out = bed.set_view(|v| {
        std::sync::Arc::make_mut(&mut v.targets[0]).owner = "new".into();
        v.owners = vec!["new".into()];
    });
    assert_eq!(sent(&out), [("new".into(), release(2, 1, 3))]);
    assert_eq!(start_count(&mut bed, 1), 0);
    bed.finish(&started, AttemptEnd::Good);
    let reports = sent(&bed.tick());
    assert!(
        reports.contains(&("new".into(), release(2, 0, 3))),
        "{reports:?}"
    );
}

/// Guards against two owners: exactly one of two claimants keeps a target.
#[test]
fn claim_conflict_has_one_winner() {
    for (their_view, keeps) in [(1, true), (9, false)] {
        let mut bed = TestBed::warm(1);
        bed.set_view(|_| {});
        let claim = LoanMsg::Claim {
            view: their_view,
            targets: vec!["t-0".into()],
        };
        let out = bed.peer("rival", claim);
        let Some((_, LoanMsg::Release { targets, kept, .. })) = sent(&out).pop() else {
            panic!("no release in {out:?}");
        };
        assert_eq!(
            (kept.len(), targets.len()),
            if keeps { (1, 0) } else { (0, 1) }
        );
        assert_eq!(start_count(&mut bed, 1) == 1, keeps);
    }
}

/// Guards against a claimant that starts calls although the other one keeps the target, and against
/// one that never claims again.
#[test]
fn claim_kept_by_the_other() {
    let mut bed = successor();
    let kept = LoanMsg::Release {
        view: 9,
        targets: Vec::new(),
        kept: vec!["t-0".into()],
    };
    bed.peer("old", kept);
    assert_eq!(start_count(&mut bed, 1), 0);
    let claims = sent(&bed.advance(1_600))
        .into_iter()
        .filter(|(to, msg)| to.as_str() == "old" && matches!(msg, LoanMsg::Claim { .. }));
    assert!(claims.count() >= 1);
}

/// Guards against starts on slots that others may have taken over during a pause of the process.
#[test]
fn pause_drops_and_claims_again() {
    let mut view = view(vec![target(0, "me")]);
    view.owners = vec!["me".into(), "peer".into()];
    let mut bed = TestBed::warm_with(view);
    bed.advance(500);
    assert_eq!(start_count(&mut bed, 1), 1);
    bed.now = bed.now.plus_ms(1_001);
    let out = bed.arrive(URGENT);
    assert!(
        starts(&out).is_empty(),
        "started on slots that may belong to others"
    );
    assert!(
        sent(&out)
            .iter()
            .any(|(_, m)| matches!(m, LoanMsg::Claim { .. }))
    );
    assert_eq!(bed.dispatcher.stats().pauses, 1);
    let answer = LoanMsg::Release {
        view: 1,
        targets: vec![("t-0".into(), 0, 0)],
        kept: Vec::new(),
    };
    assert_eq!(starts(&bed.peer("peer", answer)).len(), 0);
    assert_eq!(
        bed.dispatcher.in_use().values().sum::<u32>(),
        1,
        "calls in progress were forgotten"
    );
}

/// Guards against use of a grant that was buffered while the process was paused.
#[test]
fn pause_returns_buffered_grants() {
    let mut view = view(vec![target(0, "other")]);
    view.owners = vec!["other".into()];
    let mut bed = TestBed::warm_with(view);
    bed.now = bed.now.plus_ms(5_000);
    bed.arrive(URGENT);
    let grant = LoanMsg::Grant {
        target: "t-0".into(),
        loan: 5,
        hold_ms: 2_000,
    };
    assert!(starts(&bed.peer("other", grant)).is_empty());
}

/// Guards against a return to previous owners because of an older view that arrives late.
#[test]
fn view_older_is_ignored() {
    let mut bed = successor();
    bed.peer("old", release(2, 0, 3));
    let mut old = bed.view.clone();
    old.list_version = 1;
    std::sync::Arc::make_mut(&mut old.targets[0]).owner = "old".into();
    bed.handle(crate::Event::View(std::sync::Arc::new(old)));
    assert_eq!(start_count(&mut bed, 1), 1);
}

/// Returns an instance that claims `t-0` from `old` and `third`.
fn claimant() -> TestBed {
    let mut view = view(vec![target(0, "old")]);
    view.owners = vec!["me".into(), "old".into(), "third".into()];
    let mut bed = TestBed::new(view);
    bed.tick();
    bed.set_target(0, |t| t.owner = "me".into());
    bed
}

/// Guards against a claim that ends with the answer of an earlier owner while the last one still
/// starts calls.
#[test]
fn claim_needs_all_answers() {
    let mut bed = claimant();
    bed.peer("old", release(2, 0, 3));
    assert_eq!(
        start_count(&mut bed, 1),
        0,
        "the last owner has not answered"
    );
    assert_eq!(starts(&bed.peer("third", release(2, 0, 2))).len(), 1);
    assert_eq!(bed.limit(0), Some(2), "not the smallest limit");
}

/// Guards against a late answer of a third instance that makes this one use a yielded target.
#[test]
fn yield_outlasts_answers_of_others() {
    let mut bed = claimant();
    let kept = LoanMsg::Release {
        view: 9,
        targets: Vec::new(),
        kept: vec!["t-0".into()],
    };
    bed.peer("old", kept);
    bed.peer("third", release(2, 0, 3));
    assert_eq!(start_count(&mut bed, 1), 0);
    bed.tick();
    assert_eq!(start_count(&mut bed, 1), 0);
}

/// Guards against a repeated claim that is sent to nobody because the view lists no other owner.
#[test]
fn yield_claims_from_instance_with_precedence() {
    let mut bed = TestBed::warm(1);
    let claim = LoanMsg::Claim {
        view: 9,
        targets: vec!["t-0".into()],
    };
    bed.peer("rival", claim);
    let out = bed.advance(1_600);
    let claims = sent(&out)
        .into_iter()
        .filter(|(to, _)| to.as_str() == "rival");
    assert!(claims.count() >= 1);
    assert_eq!(start_count(&mut bed, 1), 0);
}

/// Guards against calls that are not counted because no claim was sent to their owner: in this
/// instance's view it never owned the target.
#[test]
fn claim_counts_reports_of_unasked_owners() {
    let mut bed = successor();
    bed.peer("unasked", release(2, 3, 3));
    assert!(starts(&bed.peer("old", release(2, 0, 3))).is_empty());
    assert_eq!(start_count(&mut bed, 1), 0);
}

/// Guards against reporting the limit to two successors: if instance lists disagree, the second one
/// must start from the cold limit.
#[test]
fn hand_over_reports_limit_to_one_successor() {
    let mut bed = TestBed::warm(1);
    let limit = |bed: &mut TestBed, from: &str| {
        let claim = LoanMsg::Claim {
            view: 9,
            targets: vec!["t-0".into()],
        };
        match sent(&bed.peer(from, claim)).pop() {
            Some((_, LoanMsg::Release { targets, .. })) => targets[0].2,
            other => panic!("expected a release, got {other:?}"),
        }
    };
    assert_eq!(limit(&mut bed, "one"), 3);
    assert_eq!(limit(&mut bed, "two"), 0);
    assert_eq!(limit(&mut bed, "one"), 3, "a repeated claim");
}
