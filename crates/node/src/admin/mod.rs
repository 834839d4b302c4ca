//! The administration API: HTTP/1.1 with JSON bodies on the `admin` address of the settings.
//!
//! Each connection carries one request. The number of connections, the sizes of heads and bodies and
//! the time of each phase are bounded. Nothing is decided here except who may see and ask for what;
//! proposals and questions go to the control thread as [`crate::control::AdminRequest`].

mod access;
mod ask;
mod endpoints;
mod filter;
mod problem;
mod proposals;
mod routes;
mod server;

pub use self::server::serve_admin;

#[cfg(test)]
mod tests;
