use super::*;
use crate::example::state;

/// Guards against two requests that take the same permit, and against permits that are not refunded
/// when no target is found.
#[test]
fn take_counts_until_refunded() {
    let state = state(1_000.0);
    let service = ServiceName::new("s");
    let extra_attempts = || state.with_budget(&service, |b| b.usage(state.now()).extra_attempts);
    let mut taken = Vec::new();
    while let Some(permit) = AttemptPermit::take(&state, &service, 1.0) {
        taken.push(permit);
    }
    let all = extra_attempts();
    assert!(all > 0 && usize::try_from(all).unwrap() == taken.len());
    taken.pop().unwrap().consume();
    assert!(AttemptPermit::take(&state, &service, 1.0).is_none());
    drop(taken);
    assert_eq!(extra_attempts(), 1, "only the used permit still counts");
}
