//! Outcomes of targets that instances report, each of which counts once however often it is told.

use std::collections::HashMap;

use model::TargetId;
use serde::{Deserialize, Serialize};

/// Most processes of instances that are remembered. Far more than live at a time.
const MAX_REPORTERS: usize = 4_096;

/// Outcomes in one report of an instance. The order and the types of the fields are the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedOutcomes {
    /// Number of the process that reports them; differs, with near certainty, between processes.
    pub reporter: u64,
    /// Number of the report, which rises within a process.
    pub number: u64,
    /// Number of good and of bad outcomes by target.
    pub outcomes: Vec<(TargetId, u32, u32)>,
}

/// The latest report of each process whose outcomes were counted, and what is still to be told.
#[derive(Clone, Debug, Default)]
pub struct OutcomeLog {
    latest: HashMap<u64, u64>,
    untold: Vec<ReportedOutcomes>,
}

impl OutcomeLog {
    /// Returns whether a report is to be counted. It is if no later one of its process was.
    pub fn record(&mut self, report: &ReportedOutcomes) -> bool {
        if self.latest.len() >= MAX_REPORTERS {
            self.latest.clear();
        }
        let latest = self.latest.entry(report.reporter).or_default();
        let is_new = report.number > *latest;
        *latest = report.number.max(*latest);
        is_new
    }

    /// Adds a report that the other instances are to be told of.
    pub fn add_untold(&mut self, report: ReportedOutcomes) {
        self.untold.push(report);
    }

    /// Returns the reports that the other instances are to be told of, and forgets them.
    pub fn take_untold(&mut self) -> Vec<ReportedOutcomes> {
        std::mem::take(&mut self.untold)
    }
}

#[cfg(test)]
mod tests;
