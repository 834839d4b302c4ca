//! Which versions of a service may get requests: what a rollout says, and nothing yet for versions that no
//! order names.

use balance::{Target, Verdict};
use model::{ServiceName, Version};

use crate::state::State;

/// Time for which targets of a version that was never ordered get nothing, in microseconds. Its order
/// may be read later than their entries.
const NEW_VERSION_US: u64 = 3_000_000;

/// Which versions of a service may get requests.
#[derive(Debug)]
pub struct VersionFilter {
    ordered: Option<(Version, Verdict)>,
    /// Versions that are known for too short to be the ordinary one.
    unsettled: Vec<Version>,
}

impl VersionFilter {
    /// The rule for `service` now.
    pub fn of(state: &State, service: &ServiceName) -> Self {
        let rollouts = state.rollouts.borrow();
        let ordered = rollouts
            .get(service)
            .map(|r| (r.order.version.clone(), r.verdict));
        Self {
            ordered,
            unsettled: unsettled(state, service),
        }
    }

    /// Whether a target runs the version that a rollout brings.
    pub fn is_new_version(&self, target: &Target) -> bool {
        self.ordered
            .as_ref()
            .is_some_and(|(version, _)| *version == target.entry.version)
    }

    /// Whether a target may get a request. `new_version`: it is meant for the new version.
    pub fn allows(&self, target: &Target, new_version: bool) -> bool {
        let is_of_new = self.is_new_version(target);
        match self.ordered.as_ref().map(|(_, verdict)| verdict) {
            Some(Verdict::Running) => is_of_new == new_version,
            Some(Verdict::Undone) => !is_of_new,
            Some(Verdict::Done) if is_of_new => true,
            _ => !self.unsettled.contains(&target.entry.version),
        }
    }
}

/// Versions of a service that came after its first one and were not there for long.
fn unsettled(state: &State, service: &ServiceName) -> Vec<Version> {
    let now = state.now();
    let versions = state.versions_seen.borrow();
    let of_service = || versions.iter().filter(|((s, _), _)| s == service);
    let first = of_service().map(|(_, at)| *at).min();
    of_service()
        .filter(|(_, at)| first != Some(**at) && now.since_us(**at) < NEW_VERSION_US)
        .map(|((_, version), _)| version.clone())
        .collect()
}
