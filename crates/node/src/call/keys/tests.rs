//! Guards against holders that differ between instances, and against keys that are freed although
//! their call may have run.

use async_std::task;

use super::*;
use crate::fixtures::context;

fn ids(names: &[&str]) -> Vec<InstanceId> {
    names.iter().map(|n| InstanceId::new(n)).collect()
}

#[test]
fn rank_same_everywhere() {
    let live = ids(&["i-1", "i-2", "i-3", "i-4"]);
    let mut rotated = live.clone();
    rotated.rotate_left(2);
    let other = InstanceId::new("elsewhere");
    let holders = rank(&live, &[3; 16], &other);
    assert_eq!(holders.len(), 2);
    assert_eq!(rank(&rotated, &[3; 16], &other), holders);
}

#[test]
fn rank_excludes_this_instance() {
    let live = ids(&["i-1", "i-2"]);
    assert_eq!(rank(&live, &[3; 16], &live[0]), [live[1].clone()]);
}

#[test]
fn hash_differs_by_class() {
    assert_ne!(hash("orders/a/k"), hash("orders/b/k"));
}

#[test]
fn claim_dropped_is_unknown() {
    task::block_on(async {
        let ctx = context("");
        let Claim::New(guard) = claim(&ctx, "s/c/k").await else {
            panic!("a new key is refused");
        };
        drop(guard);
        let mut repeat = claim(&ctx, "s/c/k").await;
        for _ in 0..100 {
            if !matches!(repeat, Claim::Repeated(KeyState::Running)) {
                break;
            }
            task::sleep(Duration::from_millis(1)).await;
            repeat = claim(&ctx, "s/c/k").await;
        }
        assert!(
            matches!(repeat, Claim::Repeated(KeyState::Unknown)),
            "{repeat:?}"
        );
    });
}

#[test]
fn claim_silent_holder_is_unchecked() {
    task::block_on(async {
        let ctx = context("");
        let live = ids(&["i-2", "i-3"]);
        let snapshot = crate::snapshot::Snapshot {
            live,
            ..Default::default()
        };
        ctx.snapshot.store(std::sync::Arc::new(snapshot));
        assert!(matches!(claim(&ctx, "s/c/k").await, Claim::Unchecked));
        // The call was not sent, so the key is free again as soon as the task has processed the end of
        // the claim.
        let mut again = claim(&ctx, "s/c/k").await;
        for _ in 0..100 {
            if matches!(again, Claim::Unchecked) {
                break;
            }
            task::sleep(Duration::from_millis(1)).await;
            again = claim(&ctx, "s/c/k").await;
        }
        assert!(matches!(again, Claim::Unchecked), "{again:?}");
    });
}
