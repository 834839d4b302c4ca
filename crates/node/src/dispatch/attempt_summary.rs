//! Collects the results of ended attempts by target and version for the control thread.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use model::{ServiceName, TargetId, Time};
use policy::{AttemptEnd, AttemptReport, TargetView};

use crate::control::{ControlEvent, Sample};

/// Interval of reports to the control thread, in milliseconds.
const REPORT_MS: u64 = 100;
/// Number of samples at which a report is sent before the interval is over.
const MAX_SAMPLES: usize = 512;

/// Results of the attempts that ended since the last report.
#[derive(Debug, Default)]
pub struct AttemptSummary {
    responded: HashSet<TargetId>,
    failed: HashSet<TargetId>,
    samples: Vec<Sample>,
    last_report: Time,
}

impl AttemptSummary {
    /// Records an attempt that ended. `moving` states whether the service has a move in progress. Samples
    /// are collected only during a move, because nothing else uses them.
    pub fn record(
        &mut self,
        target: &TargetView,
        route: &Arc<str>,
        report: AttemptReport,
        moving: bool,
    ) {
        match report.end {
            AttemptEnd::Good | AttemptEnd::Error | AttemptEnd::Refused => {
                self.responded.insert(target.id.clone());
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

    /// Returns the collected results as events for the control thread, if a report is due.
    pub fn take(&mut self, now: Time, service: &ServiceName) -> Vec<ControlEvent> {
        let due = now.since_us(self.last_report) >= REPORT_MS * 1_000;
        if !due && self.samples.len() < MAX_SAMPLES {
            return Vec::new();
        }
        self.last_report = now;
        let mut events = Vec::new();
        if !self.responded.is_empty() || !self.failed.is_empty() {
            let responded = self.responded.drain().collect();
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

/// Returns whether an attempt is an error of its version, or `None` if it gives no evidence. Failed
/// connections and refusals are errors, so that a version that cannot be reached or refuses every
/// call is found; a refusal while cold or draining is normal. A cancelled attempt that was sent gives
/// evidence, because hedges win against slow versions: without the cancelled attempts a slow version
/// would have no samples.
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

/// Targets by id.
pub type TargetIndex = HashMap<TargetId, Arc<TargetView>>;

#[cfg(test)]
mod tests;
