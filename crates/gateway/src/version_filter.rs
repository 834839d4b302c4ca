//! Decides which versions of a service may get requests: those that a rollout allows, and no
//! version that appeared only recently without a rollout.

use std::collections::BTreeSet;

use balance::{Position, Target, Verdict};
use model::{ServiceName, Version};

use crate::state::State;

/// Time for which targets of a version without a rollout get no requests, in microseconds. The
/// order of its rollout may be read later than the entries of its targets.
const RECENT_US: u64 = 3_000_000;

/// Rule on which versions of a service may get requests.
#[derive(Debug)]
pub struct VersionFilter {
    /// New version of the latest rollout, with its verdict.
    rollout: Option<(Version, Verdict)>,
    /// Versions that were rolled back before.
    rejected: BTreeSet<Version>,
    /// Versions that appeared too recently to get requests without a rollout.
    recent: Vec<Version>,
}

impl VersionFilter {
    /// Returns the rule for `service` at this moment.
    pub fn of(state: &State, service: &ServiceName) -> Self {
        let rollouts = state.rollouts.borrow();
        let latest = rollouts.get(service);
        Self {
            rollout: latest.map(|r| (r.order.version.clone(), r.verdict)),
            rejected: latest.map(|r| r.rejected().clone()).unwrap_or_default(),
            recent: recent(state, service),
        }
    }

    /// Whether a target runs the new version of a rollout.
    pub fn is_new_version(&self, target: &Target) -> bool {
        self.rollout
            .as_ref()
            .is_some_and(|(version, _)| *version == target.entry.version)
    }

    /// Whether a target may get a request that is assigned to the new version (`new_version`) or to
    /// the old one.
    pub fn allows(&self, target: &Target, new_version: bool) -> bool {
        let runs_new_version = self.is_new_version(target);
        if self.rejected.contains(&target.entry.version) {
            return false;
        }
        match self.rollout.as_ref().map(|(_, verdict)| verdict) {
            Some(Verdict::Running) => runs_new_version == new_version,
            Some(Verdict::Undone) => !runs_new_version,
            Some(Verdict::Done) if runs_new_version => true,
            _ => !self.recent.contains(&target.entry.version),
        }
    }
}

/// Whether `version` is the new one of the latest rollout of `service`.
pub fn is_new_version(state: &State, service: &ServiceName, version: &Version) -> bool {
    let rollouts = state.rollouts.borrow();
    rollouts
        .get(service)
        .is_some_and(|r| r.order.version == *version)
}

/// Assigns a request of `service` to a version. Returns the position of the rollout's order if it goes to
/// the new one.
pub fn assign_version(state: &State, service: &ServiceName) -> Option<Position> {
    let mut rollouts = state.rollouts.borrow_mut();
    let rollout = rollouts.get_mut(service)?;
    rollout.next_is_new().then_some(rollout.order.position)
}

/// Whether a request that was assigned to the new version of the rollout with `order` still goes there:
/// it does not once the rollout was stopped or replaced by another one.
pub fn is_assigned(state: &State, service: &ServiceName, order: Option<Position>) -> bool {
    let rollouts = state.rollouts.borrow();
    let (Some(rollout), Some(order)) = (rollouts.get(service), order) else {
        return false;
    };
    let is_ended = rollout.is_stopped || rollout.verdict == Verdict::Undone;
    rollout.had_position(order) && !is_ended
}

/// Returns the versions of a service that appeared after its first one, less than [`RECENT_US`]
/// ago.
fn recent(state: &State, service: &ServiceName) -> Vec<Version> {
    let now = state.now();
    let versions = state.versions_seen.borrow();
    let of_service = || versions.iter().filter(|((s, _), _)| s == service);
    let first = of_service().map(|(_, at)| *at).min();
    of_service()
        .filter(|(_, at)| first != Some(**at) && now.since_us(**at) < RECENT_US)
        .map(|((_, version), _)| version.clone())
        .collect()
}

#[cfg(test)]
mod tests;
