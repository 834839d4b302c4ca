use super::*;
use crate::example::state;

/// Guards against requests that take the same leave, and against leaves that are lost when no target is
/// found.
#[test]
fn take_counts_until_given_back() {
    let state = state(1_000.0);
    let service = ServiceName::new("s");
    let extras = || state.with_budget(&service, |b| b.usage(state.now()).extra_attempts);
    let mut taken = Vec::new();
    while let Some(permit) = AttemptPermit::take(&state, &service, 1.0) {
        taken.push(permit);
    }
    let all = extras();
    assert!(all > 0 && usize::try_from(all).unwrap() == taken.len());
    taken.pop().unwrap().consume();
    assert!(AttemptPermit::take(&state, &service, 1.0).is_none());
    drop(taken);
    assert_eq!(extras(), 1, "only the one that was used still counts");
}
