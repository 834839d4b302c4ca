//! Serves one request after the other on a caller's connection.

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
        Answered, BodyState, Caller, Length, Limits, RequestBody, body_length, check_request,
        handle_call, has_header, refusal, says_close, supervise,
    },
    context::Context,
    tap::{Seen, Tap},
};

/// Time for a whole request head to arrive after its first byte.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a connection may be idle between requests. Callers ask for addresses every 2 s
/// and spread calls over 4 addresses; a minute covers quiet periods.
const IDLE_LIMIT: Duration = Duration::from_mins(1);
/// Time for an answer without deadline to be written.
const WRITE_LIMIT_MS: u64 = 10_000;
/// Time for which bytes are still taken from a caller after the last answer. Closing with unread
/// bytes resets the connection, and a caller that still sends its body would lose the answer. A limit
/// of 1 MB on these bytes did that to callers with bodies of 8 MB.
const LINGER: Duration = Duration::from_secs(2);

/// What follows after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Another request.
    Request,
    /// The end; the caller sent nothing that was not read.
    Close,
    /// The end, after what the caller still sends was taken.
    Linger,
    /// The end at once; the caller must not take what it got as whole.
    Cut,
}

/// Serves requests until the connection ends.
pub async fn serve_connection(
    ctx: Arc<Context>,
    cancel: Token,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let _ = stream.set_nodelay(true);
    let mut idle = Idle::new(&ctx, &cancel);
    while idle.wait_request(&stream).await {
        let _busy = ctx.progress.start();
        match serve_request(&ctx, &cancel, &stream, peer).await {
            Next::Request => (),
            Next::Close => return,
            Next::Linger => {
                let _ = timeout(LINGER, linger(&stream)).await;
                return;
            }
            Next::Cut => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// What a connection waits for between requests. Made once for each connection: timers and waits on
/// tokens take shared locks when they begin.
struct Idle<'a> {
    drained: BoxFuture<'a, ()>,
    ended: BoxFuture<'a, ()>,
    timer: BoxFuture<'a, ()>,
}

impl<'a> Idle<'a> {
    fn new(ctx: &'a Context, cancel: &'a Token) -> Self {
        Self {
            drained: ctx.progress.drain.cancelled(),
            ended: cancel.cancelled(),
            timer: task::sleep(IDLE_LIMIT).boxed(),
        }
    }

    /// Waits for the first byte of a request. `false` if the connection has ended.
    async fn wait_request(&mut self, stream: &TcpStream) -> bool {
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
                let left = IDLE_LIMIT.saturating_sub(since.elapsed());
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
) -> Next {
    let (tap, seen) = Tap::new(stream.clone());
    let start = Instant::now();
    let check = || {
        let late = start.elapsed() >= HEAD_LIMIT;
        (late || cancel.is_cancelled()).then_some(late)
    };
    let (mut req, _reader) = match ctx.ticks.run(Box::pin(decode(tap)), check).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Next::Close,
        Err(false) => return Next::Cut,
        Ok(Err(_)) if seen.head_too_large() => {
            return reject(ctx, stream, Code::HeadTooLarge).await;
        }
        Ok(Err(_)) => return reject(ctx, stream, Code::BadRequest).await,
        Err(true) => return reject(ctx, stream, Code::SlowSender).await,
    };
    let raw = seen.head().unwrap_or_default();
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
    let mut answered = answer(ctx, &caller, req, body).await;
    let whole = state.is_whole() && is_in_step(&seen, &state, length);
    let keep = whole && !closes && !ctx.progress.is_leaving();
    if !keep {
        answered.response.insert_header("connection", "close");
    }
    let written = write_answer(ctx, &caller, &mut answered, method).await;
    record(ctx, &answered, arrived);
    match written {
        Err(()) => Next::Cut,
        Ok(()) if keep => Next::Request,
        Ok(()) if whole => Next::Close,
        Ok(()) => Next::Linger,
    }
}

/// Whether the caller sent nothing beyond the request. The library drops what it read too much, so
/// that a request sent early would be lost; the connection ends instead.
fn is_in_step(seen: &Seen, state: &BodyState, length: Length) -> bool {
    length == Length::Chunked || seen.body_read() == state.got()
}

async fn answer(
    ctx: &Arc<Context>,
    caller: &Caller<'_>,
    req: Request,
    body: RequestBody,
) -> Answered {
    if req.header("hw-service").is_some() {
        return handle_call(ctx, caller, req, body).await;
    }
    if req.method() == Method::Get && req.url().path() == ADDRESSES_PATH {
        return Answered::local(answer_addresses(ctx, &req), Code::Served);
    }
    Answered::local(refusal(Code::BadHeader, 0), Code::BadHeader)
}

async fn write_answer(
    ctx: &Context,
    caller: &Caller<'_>,
    answered: &mut Answered,
    method: Method,
) -> Result<(), ()> {
    let response = std::mem::replace(&mut answered.response, Response::new(200));
    let latest = ctx.clock.now().plus_ms(WRITE_LIMIT_MS);
    let limits = Limits {
        clock: ctx.clock,
        ticks: &ctx.ticks,
        deadline: answered.deadline.unwrap_or(latest),
        caller: caller.stream,
        body: answered.body.clone(),
        cancel: caller.cancel,
    };
    let mut out = caller.stream;
    let copy = io::copy(Encoder::new(response, method), &mut out);
    match supervise(&limits, copy).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => {
            debug!(event = "answer_cut", %error);
            answered.record_cut();
            Err(())
        }
        Err(stop) => {
            debug!(event = "answer_cut", ?stop);
            answered.record_cut();
            Err(())
        }
    }
}

/// Refuses a request that is not valid, and ends the connection.
async fn reject(ctx: &Context, stream: &TcpStream, code: Code) -> Next {
    ctx.metrics.refused(code);
    let mut response = refusal(code, 0);
    response.insert_header("connection", "close");
    let mut out = stream;
    let copy = io::copy(Encoder::new(response, Method::Get), &mut out);
    match timeout(Duration::from_millis(WRITE_LIMIT_MS), copy).await {
        Ok(Ok(_)) => Next::Linger,
        _ => Next::Cut,
    }
}

/// Refuses a connection, without waiting for a request.
pub async fn refuse_connection(ctx: Arc<Context>, stream: TcpStream, code: Code) {
    if reject(&ctx, &stream, code).await == Next::Linger {
        let _ = timeout(LINGER, linger(&stream)).await;
    }
}

async fn linger(stream: &TcpStream) {
    let mut io = stream;
    let _ = io.flush().await;
    let _ = stream.shutdown(Shutdown::Write);
    let _ = io::copy(&mut io, &mut io::sink()).await;
}

fn record(ctx: &Context, answered: &Answered, arrived: Instant) {
    let Some((service, class)) = &answered.class else {
        if answered.code != Code::Served {
            ctx.metrics.refused(answered.code);
        }
        return;
    };
    ctx.metrics
        .call(service.as_str(), class.as_str(), answered.code);
    if let Some(service_us) = answered.service_us() {
        let total = u64::try_from(arrived.elapsed().as_micros()).unwrap_or(u64::MAX);
        ctx.metrics
            .added(class.as_str(), total.saturating_sub(service_us));
    }
}
