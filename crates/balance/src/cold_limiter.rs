//! Limit on requests to a cold target, over all instances.
//!
//! A few instances, chosen by rendezvous hash, may send to a cold target, each at an equal part of the
//! rate that the target bears. While views of the membership differ, at most twice as many may send.

use std::time::Duration;

use model::{InstanceId, TargetId, Time, rendezvous};

/// Instances that may send to one cold target. More of them start more requests at once, since each
/// may begin with one; fewer leave the target unused when they have no requests.
const SENDERS: usize = 4;
/// Part of the rate that is used. Two disagreeing views then stay below 1.5 times the rate.
const RATE_USED: f64 = 0.75;
/// Largest wait between two requests, in microseconds.
const MAX_GAP_US: f64 = 60_000_000.0;

/// Paces the requests of this instance to one cold target.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLimiter {
    next: Time,
}

impl ColdLimiter {
    /// Whether a request may go to the cold `target` now. `rate` is what the target bears, in
    /// requests a second.
    #[must_use]
    pub fn allows(
        &self,
        now: Time,
        target: &TargetId,
        own: &InstanceId,
        instances: &[InstanceId],
    ) -> bool {
        now >= self.next && is_sender(target, own, instances)
    }

    /// Notes a request to the target.
    pub fn record_request(&mut self, now: Time, rate: f64, instances: usize) {
        let own_rate = rate * RATE_USED / instances.clamp(1, SENDERS) as f64;
        let gap_us = (1_000_000.0 / own_rate.max(0.01)).min(MAX_GAP_US);
        let gap = Duration::from_secs_f64(gap_us / 1_000_000.0);
        self.next = now.plus_us(u64::try_from(gap.as_micros()).unwrap_or(u64::MAX));
    }
}

/// Whether fewer than [`SENDERS`] instances come before `own` for the target.
fn is_sender(target: &TargetId, own: &InstanceId, instances: &[InstanceId]) -> bool {
    let weight = |name: &InstanceId| rendezvous(target.as_str(), name.as_str());
    let own_weight = weight(own);
    let before = instances.iter().filter(|name| {
        let weight = weight(name);
        *name != own && (weight > own_weight || weight == own_weight && *name < own)
    });
    before.take(SENDERS).count() < SENDERS
}

#[cfg(test)]
mod tests;
