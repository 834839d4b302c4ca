//! Serves the requests of one caller connection, one after the other.

use std::{
    net::{Shutdown, SocketAddr},
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use async_h1::server::{Encoder, decode};
use async_std::{
    future::timeout,
    io::{self, WriteExt},
    net::TcpStream,
    task,
};
use futures::{
    FutureExt,
    future::{BoxFuture, poll_fn},
    pin_mut,
};
use http_types::{Method, Request, Response};
use model::Code;
use tracing::debug;

use crate::{
    Token,
    addresses::{ADDRESSES_PATH, answer_addresses},
    call::{
        BodyState, CallResponse, Caller, Length, Limits, RequestBody, body_length, check_request,
        handle_call, has_header, refusal, says_close, supervise,
    },
    context::Context,
    tap::{ReadState, Tap},
};

/// Time limit for a request head to arrive completely after its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection may be idle between requests. Callers query addresses every 2 s and
/// spread their calls over up to 4 addresses; a minute covers periods with few calls.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time limit for writing a response without a deadline, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;
/// Time for which bytes from the caller are read and discarded after the last response. Closing with
/// unread bytes resets the connection, and a caller that is still sending its body would lose the
/// response. The number of bytes is not limited: a limit of 1 MB cut off callers with bodies of 8 MB.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// What happens to the connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    /// Wait for another request.
    Request,
    /// Close the connection. All bytes that the caller sent were read.
    Close,
    /// Close the connection after discarding what the caller still sends.
    DiscardAndClose,
    /// Close the connection at once, so that the caller recognizes its response as incomplete.
    Abort,
}

/// Serves requests until the connection is closed.
pub async fn serve_connection(
    ctx: Arc<Context>,
    cancel: Token,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let _ = stream.set_nodelay(true);
    let mut request_wait = RequestWait::new(&ctx, &cancel);
    while request_wait.wait(&stream).await {
        let _busy = ctx.progress.start_call();
        match serve_request(&ctx, &cancel, &stream, peer).await {
            AfterRequest::Request => (),
            AfterRequest::Close => return,
            AfterRequest::DiscardAndClose => {
                let _ = timeout(DISCARD_TIMEOUT, discard_rest(&stream)).await;
                return;
            }
            AfterRequest::Abort => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// The futures that end the wait for a request. Created once for each connection, because creating
/// timers and waiting on tokens takes shared locks.
struct RequestWait<'a> {
    drained: BoxFuture<'a, ()>,
    ended: BoxFuture<'a, ()>,
    timer: BoxFuture<'a, ()>,
}

impl<'a> RequestWait<'a> {
    fn new(ctx: &'a Context, cancel: &'a Token) -> Self {
        Self {
            drained: ctx.progress.drain.cancelled(),
            ended: cancel.cancelled(),
            timer: task::sleep(IDLE_TIMEOUT).boxed(),
        }
    }

    /// Waits for the first byte of a request. Returns `false` if the connection is to be closed.
    async fn wait(&mut self, stream: &TcpStream) -> bool {
        let since = Instant::now();
        let mut byte = [0];
        let arrived = stream.peek(&mut byte);
        pin_mut!(arrived);
        poll_fn(|cx| {
            if let Poll::Ready(arrived) = arrived.as_mut().poll(cx) {
                return Poll::Ready(arrived.is_ok_and(|count| count > 0));
            }
            if self.drained.poll_unpin(cx).is_ready() || self.ended.poll_unpin(cx).is_ready() {
                return Poll::Ready(false);
            }
            while self.timer.poll_unpin(cx).is_ready() {
                let left = IDLE_TIMEOUT.saturating_sub(since.elapsed());
                if left.is_zero() {
                    return Poll::Ready(false);
                }
                self.timer = task::sleep(left).boxed();
            }
            Poll::Pending
        })
        .await
    }
}

async fn serve_request(
    ctx: &Arc<Context>,
    cancel: &Token,
    stream: &TcpStream,
    peer: SocketAddr,
) -> AfterRequest {
    let (tap, read_state) = Tap::new(stream.clone());
    let start = Instant::now();
    let check = || {
        let late = start.elapsed() >= HEAD_TIMEOUT;
        (late || cancel.is_cancelled()).then_some(late)
    };
    let (mut req, _reader) = match ctx.ticks.run(Box::pin(decode(tap)), check).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return AfterRequest::Close,
        Err(false) => return AfterRequest::Abort,
        Ok(Err(_)) if read_state.head_too_large() => {
            return reject(ctx, stream, Code::HeadTooLarge).await;
        }
        Ok(Err(_)) => return reject(ctx, stream, Code::BadRequest).await,
        Err(true) => return reject(ctx, stream, Code::SlowSender).await,
    };
    let raw = read_state.head().unwrap_or_default();
    if let Err(code) = check_request(raw, &req) {
        return reject(ctx, stream, code).await;
    }
    let Ok(length) = body_length(req.as_ref()) else {
        return reject(ctx, stream, Code::BadRequest).await;
    };
    let method = req.method();
    let closes = says_close(req.as_ref());
    let body = RequestBody::new(ctx.clock, req.take_body(), length);
    let state = Arc::clone(body.state());
    let caller = Caller {
        stream,
        has_type: has_header(raw, "content-type"),
        peer: Some(peer),
        cancel,
    };
    let arrived = Instant::now();
    let mut call_response = respond(ctx, &caller, req, body).await;
    let complete = state.is_complete() && has_no_excess_bytes(&read_state, &state, length);
    let keep_open = complete && !closes && !ctx.progress.is_leaving();
    if !keep_open {
        call_response.response.insert_header("connection", "close");
    }
    let written = write_response(ctx, &caller, &mut call_response, method).await;
    record_metrics(ctx, &call_response, arrived);
    match written {
        Err(()) => AfterRequest::Abort,
        Ok(()) if keep_open => AfterRequest::Request,
        Ok(()) if complete => AfterRequest::Close,
        Ok(()) => AfterRequest::DiscardAndClose,
    }
}

/// Returns whether the caller sent no bytes beyond the request. The HTTP library drops bytes that it
/// has read beyond the request, so a pipelined request would be lost; the connection is closed
/// instead. For a chunked body the bytes are not compared.
fn has_no_excess_bytes(read_state: &ReadState, state: &BodyState, length: Length) -> bool {
    length == Length::Chunked || read_state.body_read() == state.bytes_read()
}

async fn respond(
    ctx: &Arc<Context>,
    caller: &Caller<'_>,
    req: Request,
    body: RequestBody,
) -> CallResponse {
    if req.header("hw-service").is_some() {
        return handle_call(ctx, caller, req, body).await;
    }
    if req.method() == Method::Get && req.url().path() == ADDRESSES_PATH {
        return CallResponse::local(answer_addresses(ctx, &req), Code::Served);
    }
    CallResponse::local(refusal(Code::BadHeader, 0), Code::BadHeader)
}

async fn write_response(
    ctx: &Context,
    caller: &Caller<'_>,
    call_response: &mut CallResponse,
    method: Method,
) -> Result<(), ()> {
    let response = std::mem::replace(&mut call_response.response, Response::new(200));
    let default_deadline = ctx.clock.now().plus_ms(WRITE_TIMEOUT_MS);
    let limits = Limits {
        clock: ctx.clock,
        ticks: &ctx.ticks,
        deadline: call_response.deadline.unwrap_or(default_deadline),
        caller: caller.stream,
        body: call_response.body.clone(),
        cancel: caller.cancel,
    };
    let mut out = caller.stream;
    let copy = io::copy(Encoder::new(response, method), &mut out);
    match supervise(&limits, copy).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => {
            debug!(event = "answer_cut", %error);
            call_response.record_cut();
            Err(())
        }
        Err(stop) => {
            debug!(event = "answer_cut", ?stop);
            call_response.record_cut();
            Err(())
        }
    }
}

/// Refuses a request or a connection with result code `code`. The connection is then closed.
async fn reject(ctx: &Context, stream: &TcpStream, code: Code) -> AfterRequest {
    ctx.metrics.refused(code);
    let mut response = refusal(code, 0);
    response.insert_header("connection", "close");
    let mut out = stream;
    let copy = io::copy(Encoder::new(response, Method::Get), &mut out);
    match timeout(Duration::from_millis(WRITE_TIMEOUT_MS), copy).await {
        Ok(Ok(_)) => AfterRequest::DiscardAndClose,
        _ => AfterRequest::Abort,
    }
}

/// Refuses a connection without waiting for a request.
pub async fn refuse_connection(ctx: Arc<Context>, stream: TcpStream, code: Code) {
    if reject(&ctx, &stream, code).await == AfterRequest::DiscardAndClose {
        let _ = timeout(DISCARD_TIMEOUT, discard_rest(&stream)).await;
    }
}

/// Closes the writing side and reads until the caller closes the connection.
async fn discard_rest(stream: &TcpStream) {
    let mut io = stream;
    let _ = io.flush().await;
    let _ = stream.shutdown(Shutdown::Write);
    let _ = io::copy(&mut io, &mut io::sink()).await;
}

/// Records the result of a request and the time that the instance added to it as metrics.
fn record_metrics(ctx: &Context, call_response: &CallResponse, arrived: Instant) {
    let Some((service, class)) = &call_response.class else {
        if call_response.code != Code::Served {
            ctx.metrics.refused(call_response.code);
        }
        return;
    };
    ctx.metrics
        .call(service.as_str(), class.as_str(), call_response.code);
    if let Some(service_us) = call_response.service_us() {
        let total = u64::try_from(arrived.elapsed().as_micros()).unwrap_or(u64::MAX);
        ctx.metrics
            .added(class.as_str(), total.saturating_sub(service_us));
    }
}
