//! Hedging within a limit that the operator sets: when a request without a response is also sent to a
//! second target, the reasons to hold the hedge back, and the share of a service's idempotent requests
//! that all instances together may hedge. Addresses a few slow targets or slow requests among many that
//! are served as usual. No I/O and no clock.

mod conditions;
mod hold_reason;
mod latency_window;
mod limiter;
mod policy;

pub use self::{
    conditions::HedgeConditions, hold_reason::HoldReason, latency_window::LatencyWindow,
    limiter::HedgeLimiter, policy::HedgePolicy,
};

#[cfg(test)]
mod tests;
