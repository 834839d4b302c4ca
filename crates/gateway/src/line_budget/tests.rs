use std::time::Duration;

use super::*;

fn budgets(now: Instant) -> [LineBudget; 3] {
    LineClass::ALL.map(|class| LineBudget::new(class, 200, now))
}

fn taken(budget: &mut LineBudget, count: usize, now: Instant) -> usize {
    (0..count).filter(|_| budget.take(now)).count()
}

/// Guards against logs that lose what an instance knows of its targets while it serves many
/// requests: 300 targets change while 1,000 requests are logged.
#[test]
fn take_requests_leave_room_for_beliefs() {
    let now = Instant::now();
    let [mut requests, mut beliefs, mut warnings] = budgets(now);
    assert_eq!(taken(&mut requests, 1_000, now), 100);
    assert_eq!(taken(&mut beliefs, 300, now), 300);
    assert_eq!(taken(&mut warnings, 50, now), 50);
    assert_eq!(requests.take_dropped(), 900);
    assert_eq!(requests.take_dropped(), 0, "counted once");
    assert_eq!(beliefs.take_dropped(), 0);
}

/// Guards against logs without a bound on their volume.
#[test]
fn take_keeps_to_lines_in_a_second() {
    let start = Instant::now();
    let mut written = 0;
    for mut budget in budgets(start) {
        taken(&mut budget, 10_000, start);
        for second in 1..=10 {
            written += taken(&mut budget, 10_000, start + Duration::from_secs(second));
        }
    }
    assert_eq!(written, 10 * 200);
}
