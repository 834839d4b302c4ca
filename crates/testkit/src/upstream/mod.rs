//! Test double of an upstream: slots, service times, faults and counts.

mod answer;
mod cold;
mod counts;
mod faults;
mod server;
mod spec;

pub use self::{
    answer::ANSWER_BYTES,
    cold::ColdStart,
    counts::UpstreamCounts,
    faults::{AnswerFault, BadVersion, UpstreamFaults},
    server::Upstream,
    spec::{Tail, UpstreamSpec},
};
