//! Reach of one service.

use std::collections::{BTreeMap, BTreeSet};

use model::{TargetId, Time};

use super::Contact;

/// Targets in a row that fail before contact counts as lost. One or two may have crashed.
const STREAK: usize = 3;
/// Time for which a failed connection counts while the service is reached, in microseconds. Health checks
/// of single targets take over after that.
const FAILURE_AGE_US: u64 = 3_000_000;
/// Time for which a contact shows that some targets are in reach, in microseconds. Targets are checked more
/// often.
const CONTACT_AGE_US: u64 = 1_000_000;

/// Which targets of a service could not be connected to.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    contact: Contact,
    /// Time at which contact was lost, while it is.
    lost_at: Option<Time>,
    /// Targets that could not be connected to since the latest contact with them, with the latest try.
    unreachable: BTreeMap<TargetId, Time>,
    /// Targets that could not be connected to since the latest contact with any target.
    failed: BTreeSet<TargetId>,
    /// Targets that have not answered since the latest contact with any target.
    silent: BTreeSet<TargetId>,
    /// Latest contact with any target since there is trouble.
    last_contact: Option<Time>,
}

impl ServiceReach {
    /// Returns whether the targets are reached.
    #[must_use]
    pub fn contact(&self) -> Contact {
        self.contact
    }

    /// Returns the number of targets that could not be connected to.
    #[must_use]
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Returns when a connection to a target last failed; `None` if it may be reachable.
    #[must_use]
    pub fn failed_at(&self, id: &TargetId) -> Option<Time> {
        self.unreachable.get(id).copied()
    }

    /// Returns for how long contact has been lost, in microseconds; 0 if it is not.
    #[must_use]
    pub fn lost_us(&self, now: Time) -> u64 {
        self.lost_at.map_or(0, |at| now.since_us(at))
    }

    /// Returns whether some targets are in reach although contact is lost with most.
    #[must_use]
    pub fn is_partial(&self, now: Time) -> bool {
        let is_recent = |at| now.since_us(at) < CONTACT_AGE_US;
        self.last_contact.is_some_and(is_recent)
    }

    /// Records that a target has accepted a connection or answered, of `known` targets that may be used.
    pub fn record_contact(&mut self, id: &TargetId, known: usize, now: Time) {
        self.last_contact = Some(now);
        self.failed.clear();
        self.silent.clear();
        self.unreachable.remove(id);
        let is_mostly_lost = self.unreachable.len() * 2 > known;
        if self.contact == Contact::Doubtful || !is_mostly_lost {
            self.contact = Contact::Reached;
            self.lost_at = None;
        }
    }

    /// Records that no connection to a target could be opened, of `known` targets that may be used.
    pub fn record_unreachable(&mut self, id: &TargetId, known: usize, now: Time) {
        if self.contact == Contact::Reached {
            let is_recent = |at: &Time| now.since_us(*at) < FAILURE_AGE_US;
            self.unreachable.retain(|_, at| is_recent(at));
        }
        self.unreachable.insert(id.clone(), now);
        self.failed.insert(id.clone());
        if self.failed.len() >= streak(known) || self.unreachable.len() * 2 > known {
            self.contact = Contact::Lost;
            self.lost_at.get_or_insert(now);
        }
    }

    /// Records that a target has not answered on an open connection, of `known` targets that may be used.
    pub fn record_silent(&mut self, id: &TargetId, known: usize) {
        self.silent.insert(id.clone());
        if self.contact == Contact::Reached && self.silent.len() >= streak(known) {
            self.contact = Contact::Doubtful;
        }
    }

    /// Whether nothing speaks against contact.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.contact == Contact::Reached && self.unreachable.is_empty()
    }
}

/// Returns the number of targets in a row, of `known`, whose failures speak against contact.
fn streak(known: usize) -> usize {
    known.clamp(1, STREAK)
}
