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
                budget.record_request(Time(at as u64));
            }
            while budget.allows(Time(1_000), loads.len()) {
                budget.record_extra_attempt(Time(1_000));
                extras += 1;
            }
        }
        let requests: usize = loads.iter().sum();
        prop_assert!(f64::from(extras) <= requests as f64 * 0.2 + 60.0);
    }
}

/// Time between two steps of the simulated fleet.
const STEP_US: u64 = 100_000;

/// Second sends of all instances in each step when every request wants one from `stall` on, with reports
/// that arrive every `beat` steps and may be lost once.
fn play(rates: &[u32], stall: u64, beat: u64, slack: f64, steps: u64) -> Vec<(u32, u32)> {
    let mut fleet: Vec<RetryBudget> = (0..rates.len())
        .map(|_| RetryBudget::new(WINDOW_US, 0.2, slack))
        .collect();
    let mut told: Vec<BudgetUsage> = vec![BudgetUsage::default(); rates.len()];
    let mut seen = Vec::new();
    for step in 0..steps {
        let now = Time(step * STEP_US);
        if step % (2 * beat) == 0 {
            for (told, budget) in told.iter_mut().zip(&mut fleet) {
                *told = budget.usage(now);
            }
        }
        let (mut requests, mut extras) = (0, 0);
        for own in 0..fleet.len() {
            let mut others = BudgetUsage::default();
            let reports = told.iter().enumerate().filter(|(at, _)| *at != own);
            reports.for_each(|(_, used)| others.add(*used));
            // Rates are requests in 10 steps, spread evenly.
            let rate = u64::from(rates[own]);
            for _ in (rate * step / 10)..(rate * (step + 1) / 10) {
                requests += 1;
                let budget = &mut fleet[own];
                budget.record_request(now);
                let may =
                    budget.allows(now, rates.len()) || budget.allows_beyond_share(now, others, 1.0);
                if may && step >= stall {
                    budget.record_extra_attempt(now);
                    extras += 1;
                }
            }
        }
        seen.push((requests, extras));
    }
    seen
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against instances that together exceed the budget because each sees the others late.
    #[test]
    fn allows_shared_keeps_limit_in_a_stall(
        rates in proptest::collection::vec(1_u32..60, 8..60),
        stall in 0_u64..150,
        beat in 4_u64..=10,
    ) {
        let slack = if rates.len() > 24 { 160.0 } else { 60.0 };
        let seen = play(&rates, stall, beat, slack, 300);
        for window in seen.windows(100) {
            let requests: u32 = window.iter().map(|(r, _)| r).sum();
            let extras: u32 = window.iter().map(|(_, e)| e).sum();
            let limit = f64::from(requests) * 0.2 + slack;
            prop_assert!(f64::from(extras) <= limit, "{extras} of {limit}");
        }
    }
}

/// Guards against instances that may send nothing again although the system has used nothing.
#[test]
fn allows_shared_lends_unused_shares() {
    let mut budget = RetryBudget::new(WINDOW_US, 0.2, 160.0);
    for at in 0..10 {
        budget.record_request(Time(9_000_000 + at * 100_000));
    }
    let now = Time(9_950_000);
    while budget.allows(now, 100) {
        budget.record_extra_attempt(Time(5_000_000));
    }
    let idle = BudgetUsage {
        requests: 5_000,
        extra_attempts: 10,
    };
    assert!(budget.allows_beyond_share(now, idle, 1.0));
    let busy = BudgetUsage {
        requests: 5_000,
        extra_attempts: 700,
    };
    assert!(!budget.allows_beyond_share(now, busy, 1.0));
    let alone = BudgetUsage::default();
    assert!(
        !budget.allows_beyond_share(now, alone, 0.01),
        "cut off, the slack belongs to the others"
    );
}

#[test]
fn allows_again_after_window() {
    let mut budget = RetryBudget::new(WINDOW_US, 0.0, 1.5);
    assert!(budget.allows(Time(0), 1));
    budget.record_extra_attempt(Time(0));
    assert!(!budget.allows(Time(WINDOW_US), 1));
    assert!(budget.allows(Time(WINDOW_US + 1), 1));
}
