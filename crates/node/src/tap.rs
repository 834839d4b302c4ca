//! Wraps a connection that the HTTP library reads and writes. Counts the bytes read, keeps the raw
//! head and limits its size; the library checks the size only after each complete line.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

/// Largest head accepted, in bytes. The library's own limit is the same.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Data that a [`Tap`] has read from its connection. Shared by all clones of the tap.
#[derive(Debug, Default)]
pub struct ReadState {
    head: OnceLock<Vec<u8>>,
    read: AtomicU64,
}

impl ReadState {
    /// Returns the raw head once it is complete.
    pub fn head(&self) -> Option<&[u8]> {
        self.head.get().map(Vec::as_slice)
    }

    /// Returns the number of bytes read, including those in the buffers of the library.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Acquire)
    }

    /// Returns whether the head is larger than allowed.
    pub fn head_too_large(&self) -> bool {
        self.head.get().is_none() && self.read() >= MAX_HEAD_BYTES as u64
    }

    /// Returns the number of bytes read after the head.
    pub fn body_read(&self) -> u64 {
        let head = self.head().map_or(0, <[u8]>::len) as u64;
        self.read().saturating_sub(head)
    }
}

/// Wraps a connection for one request or response. Only one clone may read.
#[derive(Debug)]
pub struct Tap {
    stream: TcpStream,
    head: Vec<u8>,
    seen: Arc<ReadState>,
}

impl Tap {
    /// Wraps `stream` for its next request or response.
    pub fn new(stream: TcpStream) -> (Self, Arc<ReadState>) {
        let seen = Arc::new(ReadState::default());
        let tap = Self {
            stream,
            head: Vec::new(),
            seen: Arc::clone(&seen),
        };
        (tap, seen)
    }

    fn record(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.seen
            .read
            .fetch_add(bytes.len() as u64, Ordering::AcqRel);
        if self.seen.head.get().is_some() {
            return Ok(());
        }
        let from = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        if let Some(end) = head_end(&self.head[from..]) {
            self.head.truncate(from + end);
            let _ = self.seen.head.set(std::mem::take(&mut self.head));
            return Ok(());
        }
        if self.head.len() >= MAX_HEAD_BYTES {
            let text = format!("head larger than {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

impl Clone for Tap {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            head: Vec::new(),
            seen: Arc::clone(&self.seen),
        }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.record(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Returns the offset after the empty line that ends a head.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let crlf = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let bare = bytes.windows(2).position(|w| w == b"\n\n");
    let ends = [crlf.map(|p| p + 4), bare.map(|p| p + 2)];
    ends.into_iter().flatten().min()
}

#[cfg(test)]
mod tests;
