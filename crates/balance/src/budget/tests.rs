use proptest::prelude::*;

use super::*;

const WINDOW_US: u64 = 10_000_000;

proptest! {
    /// Guards against instances whose shares add up to more than the whole system may send again.
    #[test]
    fn allows_shares_add_up(loads in proptest::collection::vec(0_usize..200, 1..20)) {
        let mut extras = 0;
        for load in &loads {
            let mut budget = RetryBudget::new(WINDOW_US, 0.2, 60.0);
            for at in 0..*load {
                budget.note_request(Time(at as u64));
            }
            while budget.allows(Time(1_000), loads.len()) {
                budget.note_extra(Time(1_000));
                extras += 1;
            }
        }
        let requests: usize = loads.iter().sum();
        prop_assert!(f64::from(extras) <= requests as f64 * 0.2 + 60.0);
    }
}

#[test]
fn allows_again_after_window() {
    let mut budget = RetryBudget::new(WINDOW_US, 0.0, 1.5);
    assert!(budget.allows(Time(0), 1));
    budget.note_extra(Time(0));
    assert!(!budget.allows(Time(WINDOW_US), 1));
    assert!(budget.allows(Time(WINDOW_US + 1), 1));
}
