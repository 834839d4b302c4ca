//! A connection in use.

use std::net::Shutdown;

use async_std::net::TcpStream;

use crate::pool::target_pool::Permit;

/// A connection in use. Closed on drop unless kept.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    permit: Option<Permit>,
}

impl Conn {
    pub(super) const fn new(stream: TcpStream, permit: Permit) -> Self {
        Self {
            stream,
            permit: Some(permit),
        }
    }

    /// The connection itself.
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Keeps the connection for another exchange. Only after a whole answer.
    pub fn keep(mut self) {
        if let Some(permit) = self.permit.take() {
            permit.keep(self.stream.clone());
        }
    }

    /// Closes the idle connections to the same target, because this one went silent.
    pub fn close_siblings(&self) {
        if let Some(permit) = &self.permit {
            permit.close_siblings();
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // Clones of the stream may live on in the HTTP library; the exchange ends here all the same.
        if self.permit.is_some() {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}
