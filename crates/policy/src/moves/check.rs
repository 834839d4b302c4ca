//! Tests one rate, of errors or of slow calls, against the old version's.

use super::sprt::{Decision, Sprt};

/// Part of the chance of a false alarm that the test for gross faults gets. Gross faults are to be
/// found within 2 s at a share of 1%, where few calls arrive; mild ones take longer anyway.
const GROSS_PART: f64 = 0.75;

/// Rates that the tests decide between.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// The old version's rate.
    pub(crate) good: f64,
    /// Smallest rate of a bad version.
    pub(crate) mild: f64,
    /// Rate of a version with a gross fault.
    pub(crate) gross: f64,
}

/// Two tests of the same counts. A test for the smallest bad rate alone takes twice as many calls
/// to find a gross fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct Check {
    mild: Sprt,
    gross: Sprt,
    accepted: bool,
}

impl Check {
    /// Adds counts. Returns whether either test raises an alarm.
    pub(crate) fn add(&mut self, counts: (u64, u64), rates: Rates, alpha: f64) -> bool {
        let gross = (rates.good, rates.gross);
        let gross = self.gross.add(counts, gross, alpha * GROSS_PART);
        let mild = (rates.good, rates.mild);
        let mild = self.mild.add(counts, mild, alpha * (1.0 - GROSS_PART));
        self.accepted |= mild == Decision::Accepted;
        mild == Decision::Alarm || gross == Decision::Alarm
    }

    /// Forgets earlier acceptances; the tests go on.
    pub(crate) fn restart(&mut self) {
        self.accepted = false;
    }

    /// Whether the version was accepted since the restart.
    pub(crate) const fn is_accepted(&self) -> bool {
        self.accepted
    }

    pub(crate) fn is_suspicious(&self) -> bool {
        self.mild.is_suspicious() || self.gross.is_suspicious()
    }
}
