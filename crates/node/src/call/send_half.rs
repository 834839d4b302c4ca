//! The writing side of an upstream connection. The library's client writes a whole request and then
//! reads; with this side alone it ends after writing, and the answer is read next to it, so that an
//! upstream may answer before it has read the whole request.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

use crate::call::exchange::Trace;

/// Writes a request and reports what left.
#[derive(Debug)]
pub struct SendHalf {
    stream: TcpStream,
    trace: Arc<Trace>,
}

impl SendHalf {
    /// The writing side of `stream`.
    pub const fn new(stream: TcpStream, trace: Arc<Trace>) -> Self {
        Self { stream, trace }
    }
}

impl AsyncRead for SendHalf {
    /// The client reads when the request left; the error ends it.
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.trace.note_whole();
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }
}

impl AsyncWrite for SendHalf {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        if count > 0 {
            self.trace.note_sent();
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
