//! What ended calls show about targets and versions, collected for the control thread.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use model::{ServiceName, TargetId, Time};
use policy::{AttemptEnd, AttemptReport, TargetView};

use crate::control::{ControlEvent, Sample};

/// Interval of reports to the control thread, in milliseconds.
const REPORT_MS: u64 = 100;
/// Samples after which a report is due earlier.
const MAX_SAMPLES: usize = 512;

/// Collected since the last report.
#[derive(Debug, Default)]
pub struct Tally {
    answered: HashSet<TargetId>,
    failed: HashSet<TargetId>,
    samples: Vec<Sample>,
    reported: Time,
}

impl Tally {
    /// Takes an attempt that ended. `moving` tells whether the service has a move in progress, since
    /// samples are of use only then.
    pub fn note(
        &mut self,
        target: &TargetView,
        route: &Arc<str>,
        report: AttemptReport,
        moving: bool,
    ) {
        match report.end {
            AttemptEnd::Good | AttemptEnd::Error | AttemptEnd::Refused => {
                self.answered.insert(target.id.clone());
            }
            AttemptEnd::ConnectFailed | AttemptEnd::Timeout => {
                self.failed.insert(target.id.clone());
            }
            AttemptEnd::Cut | AttemptEnd::Cancelled => {}
        }
        let Some(error) = is_error(report) else {
            return;
        };
        if moving {
            self.samples.push(Sample {
                version: target.version.clone(),
                route: Arc::clone(route),
                error,
                cancelled: report.end == AttemptEnd::Cancelled,
                cold: report.cold,
                service_us: report.service_us,
            });
        }
    }

    /// Events for the control thread, if a report is due.
    pub fn take(&mut self, now: Time, service: &ServiceName) -> Vec<ControlEvent> {
        let due = now.since_us(self.reported) >= REPORT_MS * 1_000;
        if !due && self.samples.len() < MAX_SAMPLES {
            return Vec::new();
        }
        self.reported = now;
        let mut events = Vec::new();
        if !self.answered.is_empty() || !self.failed.is_empty() {
            let responded = self.answered.drain().collect();
            let failed = self.failed.drain().collect();
            events.push(ControlEvent::TargetResults { responded, failed });
        }
        if !self.samples.is_empty() {
            let samples = std::mem::take(&mut self.samples);
            events.push(ControlEvent::Samples {
                service: service.clone(),
                samples,
            });
        }
        events
    }
}

/// Whether an attempt counts as an error of its version; `None` if it says nothing. A version that
/// cannot be reached or refuses everything is bad, but refusing while cold or draining is regular. A
/// cancelled attempt may still show that its version is slow: hedges win against slow versions, and
/// without the losers nothing would be seen of them.
fn is_error(report: AttemptReport) -> Option<bool> {
    match report.end {
        AttemptEnd::Cancelled if report.service_us == 0 => None,
        AttemptEnd::Good | AttemptEnd::Cancelled => Some(false),
        AttemptEnd::Refused if report.cold || report.draining => None,
        AttemptEnd::Error
        | AttemptEnd::Timeout
        | AttemptEnd::Cut
        | AttemptEnd::ConnectFailed
        | AttemptEnd::Refused => Some(true),
    }
}

/// Targets by id, for quick look-ups.
pub type TargetIndex = HashMap<TargetId, Arc<TargetView>>;

#[cfg(test)]
mod tests;
