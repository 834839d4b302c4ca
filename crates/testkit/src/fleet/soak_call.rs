//! A request of the soak with a key, its result, and the checks of keys and workspaces.
//!
//! Limit: targets keep the header lines of their latest 1,000 requests, so that in runs of more than
//! about 45 s with 8 targets the workspaces of earlier requests are not checked.

use std::time::{Duration, Instant};

use h1::Headers;

use super::{FleetRequest, FleetResult, FleetRig, odd_caller::OddCaller, soak_keys::KeyHistory};

/// Time within which a change of keys must be in effect everywhere.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// A request that was sent, and its result.
pub(super) struct Call {
    pub(super) request: FleetRequest,
    /// [`FleetResult::Cut`] if `odd_caller` is set.
    pub(super) result: FleetResult,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    /// Whether the instance has had contact with the store for long enough when the request was sent
    /// that the platform requires it to know all changes.
    pub(super) is_settled: bool,
    pub(super) odd_caller: Option<OddCaller>,
    /// Whether earlier requests have used its connection.
    pub(super) is_reused: bool,
}

impl Call {
    /// Returns whether the key was valid at all times that matter for the request.
    pub(super) fn has_valid_key(&self, keys: &KeyHistory) -> bool {
        let key = self.request.key.as_deref().unwrap_or_default();
        let from = self.apply_start(keys);
        !keys.owners(key, from, self.ended_at).contains(&None)
    }

    /// Returns what is wrong with how the gateway treated the key.
    pub(super) fn key_violations(&self, rig: &FleetRig, keys: &KeyHistory) -> Vec<String> {
        let mut violations = Vec::new();
        if self.result.status() == 401 && self.has_valid_key(keys) {
            violations.push(String::from("401 for a valid key"));
        }
        if self.odd_caller == Some(OddCaller::HalfBody) && rig.run_count(&self.request.id) > 0 {
            violations.push(String::from("ran without its whole body"));
        }
        let headers = rig.targets.iter().map(|t| t.headers_of(&self.request.id));
        let wrong = headers.flatten().map(|h| self.header_violation(&h, keys));
        violations.extend(wrong.flatten());
        violations
    }

    /// Returns what is wrong with the header lines that a target got.
    fn header_violation(&self, headers: &Headers, keys: &KeyHistory) -> Option<String> {
        let key = self.request.key.as_deref().unwrap_or_default();
        let has_key = |value: &[u8]| String::from_utf8_lossy(value).contains(key);
        if headers.iter().any(|(_, value)| has_key(value)) {
            return Some(format!("target got the key {key}"));
        }
        let from = self.settled_from(keys);
        // A request that got no response may still run later, with a later list of keys.
        let has_response = matches!(self.result, FleetResult::Response(_));
        let to = has_response.then_some(self.ended_at);
        let allowed = keys.owners(key, from, to.unwrap_or_else(Instant::now));
        let workspace = headers.single_value("x-hibiscusway-tenant");
        let is_allowed = workspace.is_some() && allowed.contains(&workspace);
        (!is_allowed).then(|| format!("ran with {key} for {workspace:?}, allowed {allowed:?}"))
    }

    /// Returns the time before which changes of keys must be in effect at an instance with contact.
    fn apply_start(&self, keys: &KeyHistory) -> Instant {
        let start = self.sent_at.checked_sub(APPLY_TIME);
        start.unwrap_or_else(|| keys.start())
    }

    /// Returns the time whose changes of keys the instance must have known at the latest.
    fn settled_from(&self, keys: &KeyHistory) -> Instant {
        if self.is_settled {
            self.apply_start(keys)
        } else {
            keys.start()
        }
    }
}
