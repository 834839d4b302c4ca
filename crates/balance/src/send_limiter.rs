//! Limit on the rate of requests to one target from all instances together, for targets that are
//! cold or that state a limit.
//!
//! A few instances, chosen by rendezvous hash, may send to such a target, each at an equal share of
//! the rate. No instance asks another one. While instances disagree about one member, one more may
//! send.

use std::{cell::Cell, time::Duration};

use model::{TargetId, Time};

use crate::Senders;

/// Requests a second for each instance that may send. With more instances, more requests arrive at
/// once, since each may start with one. With fewer, the target stays idle when they have no
/// requests.
const RATE_PER_SENDER: f64 = 3.0;
/// Least number of instances that may send, so that the target is used while one of them has ended
/// and the others have not noticed.
const MIN_SENDERS: usize = 2;
/// Part of the time between two turns for which a turn is reserved for more urgent requests, for each
/// rank of urgency. Less urgent ones lose nothing, since a late turn makes the next one come earlier.
const RESERVED_DIVISOR: u64 = 6;
/// Last rank of urgency; the turn is not reserved longer for later ones.
const LAST_RANK: usize = 2;
/// Longest time between two requests, in microseconds.
const MAX_INTERVAL_US: f64 = 60_000_000.0;

/// Limits the requests of this instance to one target. It has a turn each time that its share of the
/// rate allows one more request.
#[derive(Clone, Debug, Default)]
pub struct SendLimiter {
    /// Time of the next turn.
    next: Time,
    /// Time for which the next turn is reserved for each rank of urgency, in microseconds.
    reserved_us: u64,
    /// Fingerprint of the instances and the rank of this one among them, as last computed.
    rank: Cell<Option<(u64, usize)>>,
}

impl SendLimiter {
    /// Returns whether this instance may send a request to `target` now. `rate` is the number of
    /// requests a second that the target takes from all instances together, and `urgency_rank` the
    /// number of priorities of its service that are more urgent.
    #[must_use]
    pub fn allows(
        &self,
        now: Time,
        target: &TargetId,
        rate: f64,
        senders: &Senders,
        urgency_rank: usize,
    ) -> bool {
        let reserved_us = self.reserved_us * urgency_rank.min(LAST_RANK) as u64;
        let next = self.next.plus_us(reserved_us);
        rate > 0.0 && now >= next && self.rank(target, senders) < sender_count(rate)
    }

    /// Records a request to the target. A request that came late for its turn makes the next turn
    /// come earlier, by at most half of the time between two turns.
    pub fn record_request(&mut self, now: Time, rate: f64, senders: &Senders) {
        let own_rate = Self::own_rate(rate, senders);
        let interval_us = (1_000_000.0 / own_rate.max(0.01)).min(MAX_INTERVAL_US);
        let interval = Duration::from_secs_f64(interval_us / 1_000_000.0);
        let interval_us = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        let late_us = if self.next == Time::default() {
            0
        } else {
            now.since_us(self.next).min(interval_us / 2)
        };
        self.next = now.plus_us(interval_us - late_us);
        self.reserved_us = interval_us / RESERVED_DIVISOR;
    }

    /// Returns the requests a second that one of the senders may send.
    #[must_use]
    pub fn own_rate(rate: f64, senders: &Senders) -> f64 {
        rate / senders.count().min(sender_count(rate)) as f64
    }

    fn rank(&self, target: &TargetId, senders: &Senders) -> usize {
        if let Some((fingerprint, rank)) = self.rank.get()
            && fingerprint == senders.fingerprint()
        {
            return rank;
        }
        let rank = senders.rank(target);
        self.rank.set(Some((senders.fingerprint(), rank)));
        rank
    }
}

/// Returns how many instances share a rate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is positive, and a conversion of a larger one saturates"
)]
fn sender_count(rate: f64) -> usize {
    ((rate / RATE_PER_SENDER).ceil() as usize).max(MIN_SENDERS)
}

#[cfg(test)]
mod tests;
