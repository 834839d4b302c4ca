//! The path of one call: parsing its request, queueing at the dispatcher, attempts at targets, and
//! forwarding the response.

mod active_call;
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
mod upstream_response;

pub use self::{
    body::{BodyState, RequestBody},
    handle::{CallResponse, Caller, handle_call},
    head::{Length, body_length, check_request, has_header},
    headers::says_close,
    keys::Keys,
    response::refusal,
    supervise::{Limits, supervise},
};

#[cfg(test)]
mod tests;
