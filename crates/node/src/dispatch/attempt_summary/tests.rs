//! Guards against a bad version that produces no evidence because it refuses or cannot be reached.

use super::*;
use crate::fixtures::target;

fn report(end: AttemptEnd, cold: bool) -> AttemptReport {
    AttemptReport {
        end,
        service_us: 7,
        retryable: false,
        draining: false,
        cold,
    }
}

fn errors(ends: &[AttemptReport]) -> Vec<bool> {
    let mut attempt_summary = AttemptSummary::default();
    for report in ends {
        attempt_summary.record(&target(), &"GET /".into(), *report, true);
    }
    let events = attempt_summary.take(Time::from_ms(REPORT_MS), &"orders".into());
    let samples = events.into_iter().find_map(|e| match e {
        ControlEvent::Samples { samples, .. } => Some(samples),
        _ => None,
    });
    samples
        .unwrap_or_default()
        .iter()
        .map(|s| s.error)
        .collect()
}

#[test]
fn record_unreachable_version() {
    let ends = [
        report(AttemptEnd::ConnectFailed, false),
        report(AttemptEnd::Refused, false),
    ];
    assert_eq!(errors(&ends), [true, true]);
}

#[test]
fn record_cold_refusal() {
    assert!(errors(&[report(AttemptEnd::Refused, true)]).is_empty());
}

#[test]
fn record_cancelled_only_if_sent() {
    let unsent = AttemptReport {
        service_us: 0,
        ..report(AttemptEnd::Cancelled, false)
    };
    assert!(errors(&[unsent]).is_empty());
    assert_eq!(errors(&[report(AttemptEnd::Cancelled, false)]), [false]);
}

#[test]
fn take_waits_for_interval() {
    let mut attempt_summary = AttemptSummary::default();
    attempt_summary.record(
        &target(),
        &"GET /".into(),
        report(AttemptEnd::Good, false),
        false,
    );
    assert!(
        attempt_summary
            .take(Time::from_ms(REPORT_MS - 1), &"orders".into())
            .is_empty()
    );
    assert_eq!(
        attempt_summary
            .take(Time::from_ms(REPORT_MS), &"orders".into())
            .len(),
        1
    );
}
