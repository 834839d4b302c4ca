//! Stand-in for the platform's instance list.

mod server;

pub use self::server::ListServer;
