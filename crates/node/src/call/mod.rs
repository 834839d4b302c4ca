//! The path of one call: parsing, queueing at the dispatcher, attempts at targets, and forwarding of
//! the answer.

mod active_call;
mod answer;
mod attempt;
mod body;
mod exchange;
mod handle;
mod head;
mod headers;
mod keys;
mod ledger;
mod registration;
mod request;
mod response;
mod route;
mod send_half;
mod supervise;

pub use self::{
    body::{BodyState, RequestBody},
    handle::{Answered, Caller, handle_call},
    head::{Length, body_length, check_request, has_header},
    headers::says_close,
    keys::Keys,
    response::refusal,
    supervise::{Limits, supervise},
};

#[cfg(test)]
mod tests;
