//! Guards against more messages for loans than the limit allows, and against requests for slots
//! that use up the tokens that returns of slots need.

use super::*;

fn spend_all(budget: &mut MessageBudget, now: Time, size: u32, priority: MessagePriority) -> u32 {
    let mut sent = 0;
    while budget.allows(now, size, priority) {
        budget.spend(size);
        sent += 1;
    }
    sent
}

#[test]
fn allows_rate_and_burst() {
    let mut budget = MessageBudget::new();
    let mut sent = 0;
    for ms in 0..=10_000 {
        let now = Time::from_ms(ms);
        sent += spend_all(&mut budget, now, 10, MessagePriority::Essential);
        assert!(budget.is_within_limits(now));
    }
    let limit = MESSAGE_BURST + 10.0 * MESSAGES_PER_S;
    let sent = f64::from(sent);
    assert!(sent <= limit && sent > 0.99 * limit, "{sent} of {limit}");
}

#[test]
fn allows_bytes() {
    let mut budget = MessageBudget::new();
    let sent = spend_all(
        &mut budget,
        Time::from_ms(1),
        1_000,
        MessagePriority::Essential,
    );
    assert!(
        (f64::from(sent) - BYTE_BURST / 1_000.0).abs() < 1.0,
        "{sent}"
    );
}

#[test]
fn allows_returns_after_demands() {
    let mut budget = MessageBudget::new();
    let now = Time::from_ms(1);
    assert!(spend_all(&mut budget, now, 10, MessagePriority::Optional) > 0);
    assert!(spend_all(&mut budget, now, 10, MessagePriority::Normal) > 0);
    assert!(spend_all(&mut budget, now, 10, MessagePriority::Essential) > 100);
}

#[test]
fn is_within_limits_sees_overspending() {
    let mut budget = MessageBudget::new();
    let now = Time::from_ms(1);
    assert!(budget.allows(now, 1, MessagePriority::Essential));
    (0..1_000).for_each(|_| budget.spend(1));
    assert!(!budget.is_within_limits(now));
}
