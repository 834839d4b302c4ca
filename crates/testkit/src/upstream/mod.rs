//! Stand-in for an upstream, with slots, service times, faults and counters.

mod cold;
mod counts;
mod faults;
mod response;
mod server;
mod spec;

pub use self::{
    cold::ColdStart,
    counts::UpstreamCounts,
    faults::{BadVersion, ResponseFault, UpstreamFaults},
    response::RESPONSE_BYTES,
    server::Upstream,
    spec::{ServiceTimes, UpstreamSpec},
};
