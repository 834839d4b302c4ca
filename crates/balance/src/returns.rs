//! Return order of refused requests: when a caller that is refused for lack of room comes back, and the
//! room that is left free for it until then.
//!
//! Addresses overload of a service by several kinds of requests. With one fixed pause for all, callers
//! come back to targets that are as busy as before and use up their attempts.

mod ask;
mod choice;
mod claims;
mod demand;
mod first_deadlines;
mod gate;
mod peer_claims;
mod promise;
mod room;
mod service_returns;
mod slot;

pub use self::{
    ask::{Ask, Kind},
    first_deadlines::FirstDeadlines,
    peer_claims::PeerClaims,
    promise::Promise,
    room::Room,
    service_returns::ServiceReturns,
};

#[cfg(test)]
mod tests;
