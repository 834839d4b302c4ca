//! Errors of exchanges with the platform.

use std::net::SocketAddr;

use thiserror::Error;

/// Why an exchange gave no usable answer. After any of these, a change that was asked for may or may
/// not have taken effect.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No answer within the time limit.
    #[error("{addr}: no answer within {limit_ms} ms")]
    Timeout {
        /// Server.
        addr: SocketAddr,
        /// Limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection could not be opened or broke.
    #[error("{addr}: {detail}")]
    Broken {
        /// Server.
        addr: SocketAddr,
        /// What the connection reported.
        detail: String,
    },
    /// The answer's status was not 200.
    #[error("{addr}: status {status}")]
    Status {
        /// Server.
        addr: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The body was too large, short, or not the expected JSON.
    #[error("{addr}: {detail}")]
    Body {
        /// Server.
        addr: SocketAddr,
        /// What is wrong with it.
        detail: String,
    },
}
