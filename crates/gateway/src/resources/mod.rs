//! The instance's use of its memory and its connections: every connection of a listener, and every
//! request and response, draws on one account.

mod account;
mod connection;
mod held_bytes;
mod listening;

pub use self::{
    account::Resources,
    connection::Connection,
    held_bytes::HeldBytes,
    listening::{accept, accept_callers},
};
