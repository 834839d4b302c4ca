use super::*;

fn report(reporter: u64, number: u64) -> ReportedOutcomes {
    ReportedOutcomes {
        reporter,
        number,
        outcomes: vec![(TargetId::new("t"), 0, 1)],
    }
}

/// Guards against outcomes that count twice because two collectors tell them.
#[test]
fn record_counts_each_report_once() {
    let mut log = OutcomeLog::default();
    assert!(log.record(&report(1, 4)));
    assert!(!log.record(&report(1, 4)));
    assert!(!log.record(&report(1, 3)));
    assert!(log.record(&report(1, 5)) && log.record(&report(2, 1)));
}

#[test]
fn take_untold_empties_log() {
    let mut log = OutcomeLog::default();
    log.add_untold(report(1, 1));
    assert_eq!(log.take_untold(), [report(1, 1)]);
    assert!(log.take_untold().is_empty());
}
