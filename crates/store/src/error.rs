//! Errors of HTTP exchanges with the platform.

use std::net::SocketAddr;

use thiserror::Error;

/// Why an exchange returned no usable response. A requested change may still have taken effect,
/// unless [`StoreError::is_unsent`] returns true.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The connection could not be opened, so nothing was sent.
    #[error("{addr}: cannot connect: {detail}")]
    Connect {
        /// Address of the server.
        addr: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// No complete response within the time limit.
    #[error("{addr}: no response to {request} within {limit_ms} ms")]
    Timeout {
        /// Address of the server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection broke.
    #[error("{addr}: {request}: {detail}")]
    Broken {
        /// Address of the server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Error of the connection.
        detail: String,
    },
    /// The response's status was not 200.
    #[error("{addr}: status {status} for {request}")]
    Status {
        /// Address of the server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// HTTP status.
        status: u16,
    },
    /// The response is larger than accepted. The caller may repeat a read for fewer records.
    #[error("{addr}: response to {request} is larger than {limit} bytes")]
    TooLarge {
        /// Address of the server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Largest accepted response in bytes.
        limit: u64,
    },
    /// The response body was shorter than announced or not the expected JSON.
    #[error("{addr}: response to {request}: {detail}")]
    Body {
        /// Address of the server.
        addr: SocketAddr,
        /// Method and path.
        request: String,
        /// Description of the error.
        detail: String,
    },
    /// The body of the request cannot be written as JSON, so nothing was sent.
    #[error("{addr}: request body: {detail}")]
    Encode {
        /// Address of the server.
        addr: SocketAddr,
        /// Error of the encoder.
        detail: String,
    },
}

impl StoreError {
    /// Returns whether nothing was sent, so that a requested change cannot have taken effect.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Encode { .. })
    }
}
