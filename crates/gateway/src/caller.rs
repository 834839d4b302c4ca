//! A caller's connection: requests in, responses out in the same order.

use std::{rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use futures::{
    FutureExt, StreamExt, future::LocalBoxFuture, select_biased, stream::FuturesOrdered,
};
use h1::{Decoded, MessageError, RequestDecoder, RequestLimits};
use model::Code;
use socket2::SockRef;

use crate::{
    call::{Reply, serve},
    reply::refusal,
    state::State,
};

/// Requests of one connection that are served at a time. Further ones stay unread.
const MAX_PIPELINED: usize = 16;
/// Size of one read from the socket, in bytes.
const READ_BYTES: usize = 8 * 1_024;
/// Time for a response to be taken by the caller.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which bytes are still taken after the last response. Closing with unread bytes resets the
/// connection, and the caller would lose the response.
const LINGER: Duration = Duration::from_millis(500);
/// Time for sent bytes to be acknowledged by the caller.
const ACK_LIMIT: Duration = Duration::from_secs(5);

/// What a connection waits for.
enum Event {
    Read(std::io::Result<usize>),
    Reply(Reply),
    Timeout,
    IdleEnd,
}

/// Serves a connection until it ends.
pub async fn serve_caller(state: Rc<State>, stream: TcpStream) {
    state.callers.set(state.callers.get() + 1);
    let socket = SockRef::from(&stream);
    let options = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_LIMIT)));
    if let Err(error) = options {
        tracing::debug!(event = "caller_socket", %error);
    }
    let mut connection = Connection {
        state: Rc::clone(&state),
        stream,
        decoder: RequestDecoder::default(),
        input: Vec::new(),
        replies: FuturesOrdered::new(),
        failure: None,
    };
    connection.run().await;
    state.callers.set(state.callers.get() - 1);
}

struct Connection {
    state: Rc<State>,
    stream: TcpStream,
    decoder: RequestDecoder,
    input: Vec<u8>,
    replies: FuturesOrdered<LocalBoxFuture<'static, Reply>>,
    /// What ends the connection once the requests before it are answered.
    failure: Option<Code>,
}

impl Connection {
    async fn run(&mut self) {
        let mut piece = vec![0; READ_BYTES];
        loop {
            if !self.take_requests().await {
                return;
            }
            if self.replies.is_empty()
                && let Some(kind) = self.failure
            {
                let bytes = refusal(kind, None, true);
                if self.write(&bytes).await {
                    self.linger().await;
                }
                return;
            }
            match self.wait(&mut piece).await {
                Event::Read(Ok(0) | Err(_)) | Event::IdleEnd => return,
                Event::Read(Ok(count)) => self.input.extend_from_slice(&piece[..count]),
                Event::Reply(reply) => {
                    if !self.write(&reply.bytes).await {
                        return;
                    }
                    if reply.close {
                        self.linger().await;
                        return;
                    }
                }
                Event::Timeout if self.decoder.in_body() || !self.input.is_empty() => {
                    self.failure = Some(Code::SlowSender);
                }
                Event::Timeout => return,
            }
        }
    }

    /// Starts the requests that have arrived; `false` if the caller cannot be written to.
    async fn take_requests(&mut self) -> bool {
        while self.may_take() {
            let limits = self.limits();
            match self.decoder.decode(&mut self.input, limits) {
                Ok(Decoded::Complete(request)) => {
                    let state = Rc::clone(&self.state);
                    let arrived = state.now();
                    self.replies
                        .push_back(serve(state, *request, arrived).boxed_local());
                }
                Ok(Decoded::ExpectsContinue) => {
                    if self.replies.is_empty()
                        && !self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
                    {
                        return false;
                    }
                }
                Ok(Decoded::Empty | Decoded::Partial) => return true,
                Err(error) => self.failure = Some(kind_of(error)),
            }
        }
        true
    }

    /// Whether further requests may be started. None are near the end of a planned stop; a response
    /// with a close then tells the caller to send them elsewhere.
    fn may_take(&self) -> bool {
        self.failure.is_none() && self.replies.len() < MAX_PIPELINED && !self.state.is_closing()
    }

    fn limits(&self) -> RequestLimits {
        let limits = self.state.manifest().map(|m| m.limits).unwrap_or_default();
        RequestLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
        }
    }

    async fn wait(&mut self, piece: &mut [u8]) -> Event {
        let limits = self.state.manifest().map(|m| m.limits).unwrap_or_default();
        let is_idle = self.replies.is_empty() && self.input.is_empty() && !self.decoder.in_body();
        let limit_ms = if is_idle {
            limits.idle_ms
        } else {
            limits.head_ms.max(1)
        };
        let may_read = self.may_take();
        let waits_reply = !self.replies.is_empty();
        let idle_end = self.state.idle_end.clone();
        let mut stream = &self.stream;
        let read = async {
            if may_read {
                stream.read(piece).await
            } else {
                std::future::pending().await
            }
        };
        let replies = &mut self.replies;
        let reply = async {
            match replies.next().await {
                Some(reply) => reply,
                None => std::future::pending().await,
            }
        };
        let event = async {
            let (read, reply) = (read.fuse(), reply.fuse());
            let ended = async {
                if is_idle {
                    let _ = idle_end.recv().await;
                } else {
                    std::future::pending::<()>().await;
                }
            }
            .fuse();
            futures::pin_mut!(read, reply, ended);
            select_biased! {
                reply = reply => Event::Reply(reply),
                read = read => Event::Read(read),
                () = ended => Event::IdleEnd,
            }
        };
        if waits_reply {
            return event.await;
        }
        timeout(Duration::from_millis(limit_ms), event)
            .await
            .unwrap_or(Event::Timeout)
    }

    async fn write(&mut self, bytes: &[u8]) -> bool {
        let mut stream = &self.stream;
        matches!(
            timeout(WRITE_LIMIT, stream.write_all(bytes)).await,
            Ok(Ok(()))
        )
    }

    /// Ends the sending side and takes what the caller still sends.
    async fn linger(&mut self) {
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let mut stream = &self.stream;
        let mut piece = vec![0; READ_BYTES];
        let drain =
            async { while matches!(stream.read(&mut piece).await, Ok(count) if count > 0) {} };
        let _ = timeout(LINGER, drain).await;
    }
}

fn kind_of(error: MessageError) -> Code {
    match error {
        MessageError::HeadTooLarge => Code::HeadTooLarge,
        MessageError::BodyTooLarge => Code::BodyTooLarge,
        _ => Code::BadRequest,
    }
}
