//! Forwards requests through another instance while this one is cut off from the targets of a service.
//!
//! The other instance decides everything as for a request of its own: route, version, target, limits,
//! retries. It never forwards further. The connections use the port for other instances, which callers must
//! not reach; each request is preceded by a [`RequestFrame`], and each response says in a header line
//! ([`Reply`]) which target has answered or why the request was refused.

mod listening;
mod reply;
mod request_frame;
mod sending;

pub use self::{
    listening::serve_peer,
    reply::{REPLY_HEADER, Reply},
    request_frame::RequestFrame,
    sending::{PeerResult, choose_peer, send_via_peer},
};

#[cfg(test)]
mod tests;
