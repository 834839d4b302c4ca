use model::InstanceId;

use super::*;

/// Time after which an instance looks at the membership again, in milliseconds.
const VIEW_MS: usize = 250;
/// Rate used of a cold target that serves 11 requests a second.
const COLD_RATE: f64 = 0.75 * 11.0;

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|at| InstanceId::new(&format!("i{at}")))
        .collect()
}

/// The instances that each instance knows, for a time in seconds after the start.
type View<'a> = dyn Fn(&InstanceId, f64) -> Vec<InstanceId> + 'a;

/// Returns the times, in milliseconds, at which instances send to one target within `duration_ms`,
/// when each tries every 10 ms.
fn sent_at(rate: f64, own: &[InstanceId], view: &View<'_>, duration_ms: u64) -> Vec<u64> {
    let target = TargetId::new("t");
    let mut sent = Vec::new();
    for own in own {
        let mut limiter = SendLimiter::default();
        for start in (0..duration_ms).step_by(VIEW_MS) {
            let instances = view(own, start as f64 / 1_000.0);
            let senders = Senders::new(own.clone(), instances);
            for ms in (start..start + VIEW_MS as u64).step_by(10) {
                let now = Time::from_ms(10_000 + ms);
                if limiter.allows(now, &target, rate, &senders, usize::from(ms % 20 > 0)) {
                    limiter.record_request(now, rate, &senders);
                    sent.push(ms);
                }
            }
        }
    }
    sent
}

/// Returns the most requests in any 4 s.
fn most_in_four_seconds(sent: &[u64]) -> usize {
    let count = |first: u64| {
        let window = first..first + 4_000;
        sent.iter().filter(|ms| window.contains(ms)).count()
    };
    sent.iter().map(|first| count(*first)).max().unwrap_or(0)
}

fn count_in_first_second(rate: f64, own: &[InstanceId], view: &View<'_>) -> usize {
    sent_at(rate, own, view, 1_000).len()
}

#[test]
fn instances_together_stay_below_limit() {
    let all = instances(16);
    let count = count_in_first_second(COLD_RATE, &all, &|_, _| all.clone());
    assert!(
        (4..=21).contains(&count),
        "{count} requests in a second to a target that serves 11"
    );
}

#[test]
fn instances_with_split_views_stay_below_limit() {
    let all = instances(16);
    let (left, right) = all.split_at(8);
    let view = |own: &InstanceId, _| {
        let half = if left.contains(own) { left } else { right };
        half.to_vec()
    };
    // The limit is 1.5 times the rate plus 5.
    let count = count_in_first_second(COLD_RATE, &all, &view);
    assert!(
        count <= 26,
        "{count} requests in a second while the views differ, expected at most 26"
    );
}

#[test]
fn single_instance_uses_rate() {
    let own = instances(1);
    let count = count_in_first_second(COLD_RATE, &own, &|_, _| own.clone());
    assert!((8..=12).contains(&count), "{count} requests in a second");
}

/// Guards against limits of a few requests a second that a hundred instances exceed because each
/// may start with a request, or leave unused because each share is too small.
#[test]
fn small_rates_are_used_and_kept() {
    for count in [1, 2, 16, 103] {
        let all = instances(count);
        for rate in [0.3, 1.0, 2.4, 4.9, 20.0] {
            let sent = sent_at(rate, &all, &|_, _| all.clone(), 40_000);
            let most = most_in_four_seconds(&sent);
            assert!(
                most as f64 <= 4.0 * rate + 5.0,
                "{most} at {rate} of {count}"
            );
            let mean = sent.len() as f64 / 40.0;
            assert!(mean >= 0.9 * rate, "{mean} a second at {rate} of {count}");
        }
    }
}

/// Guards against more requests than one and a half times the limit and 5 in 4 s, while instances
/// come and go and each other instance notices that at another time.
#[test]
fn small_rates_hold_while_membership_changes() {
    let all = instances(20);
    let late = |own: &InstanceId| if own.as_str().len() == 2 { 3.0 } else { 5.0 };
    // A quarter of the instances ends after 3 to 5 s, and new ones start with a short view.
    let view = |own: &InstanceId, s: f64| {
        let knows_change = s > late(own);
        let live = |at: &usize| if knows_change { *at >= 5 } else { *at < 15 };
        (0..20).filter(live).map(|at| all[at].clone()).collect()
    };
    for rate in [0.5, 1.0, 3.0, 5.0] {
        let ended = sent_at(rate, &all[..5], &view, 3_000);
        let mut sent = sent_at(rate, &all[5..], &view, 30_000);
        sent.extend(ended);
        let most = most_in_four_seconds(&sent);
        assert!(most as f64 <= 6.0 * rate + 5.0, "{most} in 4 s at {rate}");
    }
}

/// Guards against requests to a target that takes none, and against a division by nought.
#[test]
fn rate_zero_and_huge() {
    let all = instances(3);
    assert_eq!(sent_at(0.0, &all, &|_, _| all.clone(), 10_000).len(), 0);
    let sent = sent_at(1e300, &all, &|_, _| all.clone(), 1_000);
    assert_eq!(sent.len(), 300, "each instance sends whenever it tries");
}

/// Guards against an instance that goes on to send after others have taken its place.
#[test]
fn rank_follows_membership() {
    let all = instances(16);
    let target = TargetId::new("t");
    let limiter = SendLimiter::default();
    let allows = |own: &InstanceId, view: &[InstanceId]| {
        let senders = Senders::new(own.clone(), view.to_vec());
        limiter.allows(Time(1), &target, 1.0, &senders, 0)
    };
    let is_sender = |own: &&InstanceId| Senders::new((*own).clone(), all.clone()).rank(&target) < 2;
    let first = all.iter().find(is_sender).unwrap();
    let outside = all.iter().find(|own| !is_sender(own)).unwrap();
    let view = [outside.clone(), first.clone()];
    assert!(allows(outside, &view));
    assert!(!allows(outside, &all));
}

/// Guards against less urgent requests that take the turns of urgent ones at a target that takes few,
/// and against turns that are left unused because nothing is urgent.
#[test]
fn turns_are_for_urgent_requests_first() {
    let own = instances(1);
    let senders = Senders::new(own[0].clone(), own);
    let target = TargetId::new("t");
    for (urgent_every_ms, most_others) in [(1_000_000, 40), (200, 0)] {
        let (mut limiter, mut urgent, mut others) = (SendLimiter::default(), 0, 0);
        limiter.record_request(Time::from_ms(10_000), 1.0, &senders);
        for ms in (10..40_000).step_by(10) {
            let now = Time::from_ms(10_000 + ms);
            let is_urgent = ms % urgent_every_ms == 0;
            if limiter.allows(now, &target, 1.0, &senders, usize::from(!is_urgent)) {
                limiter.record_request(now, 1.0, &senders);
                *(if is_urgent { &mut urgent } else { &mut others }) += 1;
            }
        }
        assert!((38..=40).contains(&(urgent + others)), "{urgent} {others}");
        assert!(others <= most_others, "{others} less urgent ones");
    }
}
