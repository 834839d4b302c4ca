//! Tests whether one rate of the new version, of errors or of slow calls, is worse than the old
//! version's.

use super::sprt::{Decision, Sprt};

/// Fraction of the allowed false alarm probability that the test for gross faults gets. It gets most
/// of it because gross faults are to be found within 2 s at a share of 1%, where few calls arrive;
/// mild faults take longer to find anyway.
const GROSS_ALPHA_FRACTION: f64 = 0.75;

/// Rates that the tests tell apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Rate of the old version, which is also that of a good new version.
    pub(crate) baseline: f64,
    /// Lowest rate of a bad version.
    pub(crate) mild: f64,
    /// Rate of a version with a gross fault.
    pub(crate) gross: f64,
}

/// Two sequential tests of the same counts, one against the mild and one against the gross rate.
/// The mild test alone takes twice as many calls to find a gross fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateTest {
    mild: Sprt,
    gross: Sprt,
    accepted: bool,
}

impl RateTest {
    /// Adds counts, as (bad calls, calls), and returns whether either test raises an alarm. `alpha`
    /// is the probability of a false alarm of both tests together.
    pub(crate) fn add(&mut self, counts: (u64, u64), rates: Rates, alpha: f64) -> bool {
        let gross = (rates.baseline, rates.gross);
        let gross = self.gross.add(counts, gross, alpha * GROSS_ALPHA_FRACTION);
        let mild = (rates.baseline, rates.mild);
        let mild = self
            .mild
            .add(counts, mild, alpha * (1.0 - GROSS_ALPHA_FRACTION));
        self.accepted |= mild == Decision::Accepted;
        mild == Decision::Alarm || gross == Decision::Alarm
    }

    /// Forgets earlier acceptances. The tests keep their counts.
    pub(crate) fn reset_acceptance(&mut self) {
        self.accepted = false;
    }

    /// Returns whether the mild test has accepted the version since the last
    /// [`Self::reset_acceptance`].
    pub(crate) const fn is_accepted(&self) -> bool {
        self.accepted
    }

    /// Returns whether either test favours a fault without being certain.
    pub(crate) fn suspects_fault(&self) -> bool {
        self.mild.suspects_fault() || self.gross.suspects_fault()
    }
}
