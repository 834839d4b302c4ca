//! Errors of exchanges with the platform.

use std::net::SocketAddr;

use thiserror::Error;

/// Why an exchange gave no usable answer. A change that was asked for may have taken effect all the
/// same, unless [`StoreError::is_unsent`].
#[derive(Debug, Error)]
pub enum StoreError {
    /// The connection could not be opened, so nothing was sent.
    #[error("{addr}: cannot connect: {detail}")]
    Connect {
        /// Server.
        addr: SocketAddr,
        /// What the system reported.
        detail: String,
    },
    /// No answer within the time limit.
    #[error("{addr}: no answer to {request} within {limit_ms} ms")]
    Timeout {
        /// Server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection broke.
    #[error("{addr}: {request}: {detail}")]
    Broken {
        /// Server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// What the connection reported.
        detail: String,
    },
    /// The answer's status was not 200.
    #[error("{addr}: status {status} for {request}")]
    Status {
        /// Server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer is larger than accepted. A read may be repeated for fewer records.
    #[error("{addr}: answer to {request} is larger than {limit} bytes")]
    TooLarge {
        /// Server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Largest answer in bytes.
        limit: u64,
    },
    /// The body was short or not the expected JSON.
    #[error("{addr}: answer to {request}: {detail}")]
    Body {
        /// Server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The body of the request cannot be written as JSON, so nothing was sent.
    #[error("{addr}: request body: {detail}")]
    Encode {
        /// Server.
        addr: SocketAddr,
        /// Why.
        detail: String,
    },
}

impl StoreError {
    /// Whether nothing was sent, so that a change certainly did not take effect.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Encode { .. })
    }
}
