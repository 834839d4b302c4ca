//! Rate limit on requests to a cold target, over all instances.
//!
//! A few instances, chosen by rendezvous hash, may send to a cold target, each at an equal share of
//! the rate that the target can serve. While instances disagree about the membership, up to twice
//! as many may send.

use std::time::Duration;

use model::{InstanceId, TargetId, Time, rendezvous};

/// Number of instances that may send to one cold target. With more, more requests arrive at once,
/// since each instance may start with one. With fewer, the target stays idle when they have no
/// requests.
const MAX_SENDERS: usize = 4;
/// Fraction of the rate that is used. Instances with two different views of the membership then
/// stay below 1.5 times the rate.
const RATE_FRACTION: f64 = 0.75;
/// Longest time between two requests, in microseconds.
const MAX_INTERVAL_US: f64 = 60_000_000.0;

/// Limits the requests of this instance to one cold target.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLimiter {
    /// Earliest time of the next request.
    next: Time,
}

impl ColdLimiter {
    /// Returns whether this instance, `own`, may send a request to the cold `target` now.
    /// `instances` are all live instances, this one included.
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

    /// Records a request to the target. `rate` is the number of requests a second that the target
    /// can serve while it is cold, from all `instances` together.
    pub fn record_request(&mut self, now: Time, rate: f64, instances: usize) {
        let own_rate = rate * RATE_FRACTION / instances.clamp(1, MAX_SENDERS) as f64;
        let interval_us = (1_000_000.0 / own_rate.max(0.01)).min(MAX_INTERVAL_US);
        let interval = Duration::from_secs_f64(interval_us / 1_000_000.0);
        self.next = now.plus_us(u64::try_from(interval.as_micros()).unwrap_or(u64::MAX));
    }
}

/// Returns whether fewer than [`MAX_SENDERS`] instances rank before `own` for the target.
fn is_sender(target: &TargetId, own: &InstanceId, instances: &[InstanceId]) -> bool {
    let weight = |name: &InstanceId| rendezvous(target.as_str(), name.as_str());
    let own_weight = weight(own);
    let ranked_before = instances.iter().filter(|name| {
        let weight = weight(name);
        *name != own && (weight > own_weight || weight == own_weight && *name < own)
    });
    ranked_before.take(MAX_SENDERS).count() < MAX_SENDERS
}

#[cfg(test)]
mod tests;
