//! The writing side of an upstream connection. An upstream may respond before it has read the whole
//! request, but the HTTP library's client reads the response only after it has written the request. The
//! client therefore gets only the writing side, and another future reads the response concurrently.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use async_std::net::TcpStream;
use futures::{
    future::poll_fn,
    io::{AsyncRead, AsyncWrite},
};
use http_types::Request;

use crate::call::exchange::SendState;

/// A future that sends a request.
pub type Sending = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// Writes a request and records its progress.
#[derive(Debug)]
struct SendHalf {
    stream: TcpStream,
    send_state: Arc<SendState>,
}

/// Returns a future that sends `message` on `stream`. It ends when the whole request was sent or the
/// connection failed.
pub fn send(stream: TcpStream, send_state: Arc<SendState>, message: Request) -> Sending {
    let half = SendHalf {
        stream,
        send_state: Arc::clone(&send_state),
    };
    let mut client = Box::pin(async_h1::connect(half, message));
    Box::pin(poll_fn(move |cx| {
        let ended = client.as_mut().poll(cx).is_ready();
        if ended || send_state.is_complete() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }))
}

impl AsyncRead for SendHalf {
    /// Called by the client when it has written the request. The client is then dropped: ending it by
    /// an error would make the library capture a backtrace for each call.
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.send_state.record_complete();
        Poll::Pending
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
            self.send_state.record_sent();
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
