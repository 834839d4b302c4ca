//! A connection to a target while an exchange uses it.

use std::net::Shutdown;

use async_std::net::TcpStream;

use crate::pool::target_pool::Permit;

/// A connection in use. Dropping it closes the connection, unless [`Conn::keep`] was called.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    permit: Option<Permit>,
    is_reused: bool,
}

impl Conn {
    /// Returns a connection that was just opened, or one that was in use before.
    pub(super) const fn new(stream: TcpStream, permit: Permit, is_reused: bool) -> Self {
        Self {
            stream,
            permit: Some(permit),
            is_reused,
        }
    }

    /// Returns whether the connection was in use before. Late or surplus answers to earlier calls may
    /// arrive on it.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the underlying stream.
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the connection to the pool. Call this only after a complete response.
    pub fn keep(mut self) {
        if let Some(permit) = self.permit.take() {
            permit.keep(self.stream.clone());
        }
    }

    /// Closes the idle connections to the same target, because the target stopped responding.
    pub fn close_siblings(&self) {
        if let Some(permit) = &self.permit {
            permit.close_siblings();
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // Dropping the stream is not enough: the HTTP library may still have clones of it.
        if self.permit.is_some() {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}
