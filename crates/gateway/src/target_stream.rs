//! A connection to a target, which counts until it is dropped.

use std::{cell::Cell, io, ops::Deref, rc::Rc};

use async_std::net::TcpStream;

/// A connection to a target.
#[derive(Debug)]
pub struct TargetStream {
    stream: TcpStream,
    // Dropped after the stream.
    _count: OpenCount,
}

impl TargetStream {
    /// Opens a connection by `connecting`, which counts in `open` from the start.
    pub async fn open(
        open: Rc<Cell<usize>>,
        connecting: impl Future<Output = io::Result<TcpStream>>,
    ) -> io::Result<Self> {
        open.set(open.get() + 1);
        let count = OpenCount(open);
        Ok(Self {
            stream: connecting.await?,
            _count: count,
        })
    }
}

impl Deref for TargetStream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.stream
    }
}

#[derive(Debug)]
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
