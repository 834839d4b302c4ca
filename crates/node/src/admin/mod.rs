//! The administration API: HTTP/1.1 with JSON bodies on the `admin` address of the settings.
//!
//! Each connection carries one request. The number of connections, the sizes of heads and bodies and
//! the duration of each phase are limited. This module authenticates and authorizes operators and
//! checks their input; the control thread handles proposals and queries, which it receives as
//! [`crate::control::AdminRequest`].

mod access;
mod api_error;
mod control_request;
mod endpoints;
mod filter;
mod proposals;
mod routes;
mod server;

pub use self::server::serve_admin;

#[cfg(test)]
mod tests;
