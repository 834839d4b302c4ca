//! The limits on the rate of requests to the targets of one service, at one moment.

use std::rc::Rc;

use balance::{SendLimiter, Senders, Target};
use model::{ServiceName, Time};

use crate::{selection::is_eligible, state::State};

/// Rate of requests to a cold target of a service that the configuration does not name, in requests
/// a second.
const UNKNOWN_COLD_RATE: f64 = 1.0;

/// The limits on the rate of requests to the targets of one service, at one moment.
#[derive(Debug)]
pub struct SendLimits {
    now: Time,
    cold_rate: f64,
    senders: Rc<Senders>,
}

/// The limit that a target states, with what decides how this instance keeps to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedLimit {
    /// Requests a second from all instances together.
    pub rate: f64,
    /// Time since the response that stated it, in milliseconds.
    pub age_ms: u64,
    /// Requests a second that this instance may send.
    pub own_rate: f64,
}

impl SendLimits {
    /// Returns the limits for `service` now.
    pub fn of(state: &State, service: &ServiceName) -> Self {
        let config = state.config();
        let service = config.as_ref().and_then(|c| c.service(service));
        Self {
            now: state.now(),
            cold_rate: service.map_or(UNKNOWN_COLD_RATE, |s| s.cold_rate),
            senders: state.senders(),
        }
    }

    /// Whether this instance may send the target a request now. `urgency_rank` is the number of
    /// priorities of the service that are more urgent.
    pub fn allow(&self, target: &Target, urgency_rank: usize) -> bool {
        target.allows_request(self.now, self.cold_rate, &self.senders, urgency_rank)
    }

    /// Counts a request that is sent to the target now.
    pub fn record_request(&self, target: &mut Target) {
        target.record_request(self.now, self.cold_rate, &self.senders);
    }

    /// Returns the limit that the target states, if there is one.
    pub fn applied(&self, target: &Target) -> Option<AppliedLimit> {
        let rate = target.limit.rate(self.now)?;
        Some(AppliedLimit {
            rate,
            age_ms: target.limit.age_us(self.now) / 1_000,
            own_rate: SendLimiter::own_rate(rate, &self.senders),
        })
    }
}

/// Returns the time until the first target of `service` that has turned requests away takes them
/// again, in milliseconds; `None` if none has.
pub fn reopens_ms(state: &State, service: &ServiceName) -> Option<u64> {
    let now = state.now();
    let targets = state.targets.borrow();
    let usable = targets
        .of_service(service)
        .filter(|t| is_eligible(state, t));
    usable.filter_map(|t| t.closed_ms(now)).min()
}

/// Returns the requests a second that the targets of `service` with a stated limit take from all
/// instances together; `None` if none of them states one.
pub fn limited_rate(state: &State, service: &ServiceName) -> Option<f64> {
    let now = state.now();
    let targets = state.targets.borrow();
    let usable = targets
        .of_service(service)
        .filter(|t| is_eligible(state, t));
    usable
        .filter_map(|t| t.limit.rate(now))
        .reduce(|a, b| a + b)
}
