use super::*;

const START: Time = Time(5_000_000_000);
const KEY: u64 = 7;

fn after_s(seconds: u64) -> Time {
    START.plus_ms(seconds * 1_000)
}

/// Returns a crash at the time `at`, 20 ms after the request was sent.
fn crash(process: u64, at: Time) -> Crash {
    Crash {
        process,
        sent: at.minus_ms(20),
        at,
    }
}

/// Returns suspects with one crash of each of `processes` under [`KEY`], one every second.
fn crashed(processes: &[u64]) -> CrashSuspects {
    let mut suspects = CrashSuspects::default();
    for (at, process) in (0..).zip(processes) {
        suspects.record_crash(KEY, crash(*process, after_s(at)), after_s(at));
    }
    suspects
}

fn is_confirmed(suspects: &CrashSuspects, now: Time) -> bool {
    matches!(suspects.suspicion(KEY, now), Suspicion::Confirmed { .. })
}

/// Guards against a request that is refused after one or two crashes, or never.
#[test]
fn suspicion_is_confirmed_by_third_process() {
    let suspects = crashed(&[1, 2]);
    assert_eq!(
        suspects.suspicion(KEY, after_s(2)),
        Suspicion::Suspected { crashes: 2 }
    );
    assert_eq!(suspects.suspicion(KEY + 1, after_s(2)), Suspicion::Clear);
    let suspects = crashed(&[1, 2, 3]);
    let left_us = 599_000_000;
    assert_eq!(
        suspects.suspicion(KEY, after_s(3)),
        Suspicion::Confirmed { left_us }
    );
}

/// Guards against one crash that counts several times, because it was seen on several connections or
/// was reported by several instances.
#[test]
fn crash_of_one_process_counts_once() {
    let suspects = crashed(&[1, 1, 1, 1]);
    assert_eq!(suspects.suspicion(KEY, after_s(3)).crashes(), 1);
    let mut twice = crashed(&[1, 2]);
    let report = twice.report(KEY, after_s(2)).unwrap();
    assert!(!twice.apply(&report, after_s(3)));
    assert_eq!(twice.suspicion(KEY, after_s(3)).crashes(), 2);
}

/// Guards against instances that know one crash each and never add them up, in any order.
#[test]
fn apply_adds_crashes_of_other_instances() {
    let reports = [11, 12, 13].map(|process| {
        let mut other = CrashSuspects::default();
        let at = START.plus_ms(process * 30);
        other.record_crash(KEY, crash(process, at), at);
        other.report(KEY, after_s(1)).unwrap()
    });
    for order in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut suspects = CrashSuspects::default();
        for at in order {
            assert!(suspects.apply(&reports[at], after_s(1)));
        }
        assert!(is_confirmed(&suspects, after_s(1)));
    }
}

/// Guards against a sound request that stays suspected, and against older crashes that come back by
/// the word of an instance that has not heard of the success.
#[test]
fn success_clears_earlier_crashes_everywhere() {
    let mut suspects = crashed(&[1, 2]);
    let old = suspects.report(KEY, after_s(2)).unwrap();
    assert!(suspects.record_success(KEY, after_s(2)));
    assert!(!suspects.record_success(KEY, after_s(3)));
    assert_eq!(suspects.suspicion(KEY, after_s(3)), Suspicion::Clear);
    assert!(!suspects.apply(&old, after_s(2)));
    assert_eq!(suspects.suspicion(KEY, after_s(3)), Suspicion::Clear);

    let mut other = crashed(&[1, 2, 3]);
    assert!(is_confirmed(&other, after_s(3)));
    let mut cleared = crashed(&[1, 2]);
    cleared.record_success(KEY, after_s(3));
    let report = cleared.report(KEY, after_s(4)).unwrap();
    assert!(other.apply(&report, after_s(4)));
    assert_eq!(other.suspicion(KEY, after_s(4)), Suspicion::Clear);
}

/// Guards against a request that is cleared for good by one success.
#[test]
fn crash_after_success_counts() {
    let mut suspects = crashed(&[1]);
    suspects.record_success(KEY, after_s(1));
    suspects.record_crash(KEY, crash(2, after_s(2)), after_s(2));
    assert_eq!(suspects.suspicion(KEY, after_s(2)).crashes(), 1);
}

/// Guards against a request that is never tried again, and against three crashes each time that it is.
#[test]
fn confirmed_request_is_held_and_then_on_probation() {
    let mut suspects = crashed(&[1, 2, 3]);
    assert!(is_confirmed(&suspects, after_s(601)));
    let now = after_s(603);
    suspects.sweep(now);
    assert_eq!(
        suspects.suspicion(KEY, now),
        Suspicion::Suspected { crashes: 2 }
    );
    suspects.record_crash(KEY, crash(4, now), now);
    assert!(is_confirmed(&suspects, now));
    suspects.sweep(after_s(1_900));
    assert!(suspects.is_empty());
}

/// Guards against suspicion that lasts, so that crashes hours apart add up.
#[test]
fn suspicion_ends_after_a_minute() {
    let mut suspects = crashed(&[1, 2]);
    assert_eq!(suspects.suspicion(KEY, after_s(62)), Suspicion::Clear);
    suspects.record_crash(KEY, crash(3, after_s(62)), after_s(62));
    assert_eq!(suspects.suspicion(KEY, after_s(62)).crashes(), 1);
}

/// Guards against memory that callers fill with ever new requests, and against a confirmed request
/// that is forgotten for them.
#[test]
fn suspects_are_bounded() {
    let mut suspects = crashed(&[1, 2, 3]);
    for key in 100..5_000 {
        suspects.record_crash(key, crash(key, after_s(4)), after_s(4));
    }
    assert_eq!(suspects.len(), 1_024);
    assert!(is_confirmed(&suspects, after_s(4)));
    let mut suspects = crashed(&(0..200).collect::<Vec<_>>());
    suspects.sweep(after_s(200));
    let report = suspects.report(KEY, after_s(200)).unwrap();
    let processes: Vec<u64> = report.crashes.iter().map(|c| c.process).collect();
    assert_eq!(processes, [194, 195, 196, 197, 198, 199]);
}

/// Guards against an instance that starts long after the crashes and does not refuse the request, since
/// each single crash is old by then.
#[test]
fn apply_keeps_old_crashes_of_confirmed_request() {
    let report = crashed(&[1, 2, 3]).report(KEY, after_s(500)).unwrap();
    let mut suspects = CrashSuspects::default();
    assert!(suspects.apply(&report, after_s(500)));
    assert!(is_confirmed(&suspects, after_s(500)));
    suspects.sweep(after_s(501));
    assert!(is_confirmed(&suspects, after_s(501)));
    assert!(!is_confirmed(&suspects, after_s(603)));
}

/// Returns the crash of a process that ended one second after another one.
fn crash_age(process: u64) -> CrashAge {
    CrashAge {
        process,
        age_us: (1_000 - process) * 1_000_000,
        ran_us: 20_000,
    }
}

/// Guards against a report of many crashes that takes more memory than an instance's own would.
#[test]
fn apply_bounds_crashes_of_report() {
    let report = CrashReport {
        key: KEY,
        cleared_us: None,
        crashes: (0..1_000).map(crash_age).collect(),
    };
    let mut suspects = CrashSuspects::default();
    assert!(suspects.apply(&report, after_s(2)));
    assert_eq!(suspects.report(KEY, after_s(2)).unwrap().crashes.len(), 6);
}

/// Guards against sound requests that are refused because they were in progress at many targets that
/// crashed together, as when an availability zone loses power.
#[test]
fn crashes_of_requests_in_progress_together_count_once() {
    let mut suspects = CrashSuspects::default();
    for process in 0..100 {
        // Sent at most 20 ms before; the targets end within 10 ms.
        let at = START.plus_us(process * 100);
        suspects.record_crash(KEY, crash(process, at), after_s(1));
    }
    assert_eq!(suspects.suspicion(KEY, after_s(1)).crashes(), 1);
    suspects.record_crash(KEY, crash(100, after_s(1)), after_s(1));
    assert_eq!(suspects.suspicion(KEY, after_s(1)).crashes(), 2);
}

/// Guards against a sound request that is refused because it met the one that crashes targets at three of
/// them, as on the day deadly of sacaria, seed 22, and against that one being spared for it.
#[test]
fn request_beside_crashing_one_is_not_confirmed() {
    let sound = KEY + 1;
    let mut suspects = crashed(&[1, 2, 3]);
    for process in 1..=3 {
        let at = after_s(process - 1);
        suspects.record_crash(sound, crash(process, at), at);
    }
    let undecided = Suspicion::Suspected { crashes: 2 };
    assert_eq!(suspects.suspicion(sound, after_s(3)), undecided);
    assert_eq!(suspects.suspicion(KEY, after_s(3)), undecided);
    suspects.record_crash(KEY, crash(4, after_s(3)), after_s(3));
    assert!(is_confirmed(&suspects, after_s(3)));
    assert_eq!(suspects.suspicion(sound, after_s(3)), undecided);
    // It is confirmed once a target crashes under it alone.
    suspects.record_crash(sound, crash(5, after_s(4)), after_s(4));
    let known = suspects.suspicion(sound, after_s(4));
    assert!(known.left_us().is_some());
    assert!(is_confirmed(&suspects, after_s(4)));
}

/// Guards against a request that crashes targets and is never confirmed, because it is always in
/// progress at several of them.
#[test]
fn overlapping_crashes_are_confirmed() {
    for copies in 1..10 {
        let mut suspects = CrashSuspects::default();
        let mut crashes = 0;
        while !is_confirmed(&suspects, after_s(10)) {
            crashes += 1;
            assert!(crashes <= 3 * copies, "{crashes} crashes, {copies} copies");
            // Each copy runs for 20 ms, and they start one after the other.
            let at = START.plus_us(crashes * 20_000 / copies);
            suspects.record_crash(KEY, crash(crashes, at), after_s(10));
        }
    }
}
