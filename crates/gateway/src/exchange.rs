//! One request and its response on a connection to a target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use futures::{
    future::{Either, select},
    pin_mut,
};
use h1::{MessageError, Response, ResponseDecoder};
use model::Time;
use platform::headers;

use crate::{pool::connect, state::State};

/// Size of one read from the socket, in bytes.
const READ_BYTES: usize = 16 * 1_024;
/// Largest response body that is held, in bytes. A response is held whole, so that one that breaks off
/// can be replaced.
const MAX_BODY_BYTES: u64 = 32 * 1_024 * 1_024;

/// What became of a request.
#[derive(Debug)]
pub enum Sent {
    /// The target responded.
    Response(Box<Response>),
    /// No connection could be opened, or the target left meanwhile; nothing was sent.
    Unsent(std::io::Error),
    /// No proper response came; the request may have run.
    Lost(Loss),
}

/// Why no response came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Time ran out.
    Timeout,
    /// The connection ended or was reset.
    Closed,
    /// The bytes are no response, or one that is too large.
    Malformed(MessageError),
}

/// A request for a target, as bytes.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// Method, which decides on the body of the response.
    pub method: &'a str,
    /// Identity that the response must have, if any.
    pub id: Option<&'a str>,
    /// Head and body.
    pub bytes: &'a [u8],
}

/// Sends `message` to `addr` and reads the response until `deadline`. `is_wanted` tells, once the
/// connection is open, whether the target may still get requests. The connection is kept only if
/// nothing but the response came. Dropping the future closes it, which cancels the request.
pub async fn exchange(
    state: &Rc<State>,
    addr: SocketAddr,
    message: Message<'_>,
    deadline: Time,
    is_wanted: impl Fn() -> bool,
) -> Sent {
    let now = state.now();
    let pooled = state.pool.take(addr, now);
    let is_pooled = pooled.is_some();
    let stream = match pooled {
        Some(stream) => stream,
        None => match connect(addr).await {
            Ok(stream) => {
                state.metrics.count("connections_opened", 1);
                stream
            }
            Err(error) => return Sent::Unsent(error),
        },
    };
    if !is_wanted() {
        return Sent::Unsent(std::io::Error::other("the target is leaving"));
    }
    let left = Duration::from_micros(deadline.since_us(state.now()));
    let sent = match timeout(left, run(&stream, message)).await {
        Ok(sent) => sent,
        Err(_) => Err(Loss::Timeout),
    };
    match sent {
        Ok((response, is_clean)) => {
            if is_clean && response.keep_alive {
                state
                    .pool
                    .put(addr, stream, keep_ms(&response), state.now());
            }
            Sent::Response(Box::new(response))
        }
        Err(loss) => {
            if is_pooled {
                // What silenced one connection may have silenced its siblings.
                state.pool.forget(addr);
            }
            Sent::Lost(loss)
        }
    }
}

/// Idle time that the target stated, in milliseconds.
fn keep_ms(response: &Response) -> Option<u64> {
    let value = response.headers.single_value("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds: u64 = parts
        .find_map(|p| p.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds.saturating_mul(1_000))
}

async fn run(stream: &TcpStream, message: Message<'_>) -> Result<(Response, bool), Loss> {
    let mut writer = stream;
    let write = writer.write_all(message.bytes);
    let read = read_response(stream, message);
    pin_mut!(write, read);
    match select(write, read).await {
        // A target may respond and close before it has read the whole request.
        Either::Left((_, read)) => read.await,
        Either::Right((response, _)) => response.map(|(response, _)| (response, false)),
    }
}

async fn read_response(
    mut stream: &TcpStream,
    message: Message<'_>,
) -> Result<(Response, bool), Loss> {
    let mut decoder = ResponseDecoder::new(message.method, MAX_BODY_BYTES);
    let mut input = Vec::new();
    let mut piece = vec![0; READ_BYTES];
    let mut is_clean = true;
    loop {
        while let Some(response) = decoder.feed(&mut input).map_err(Loss::Malformed)? {
            if is_own(&response, message.id) {
                return Ok((response, is_clean && input.is_empty()));
            }
            // A late response to an earlier request; the own one follows.
            is_clean = false;
            decoder = ResponseDecoder::new(message.method, MAX_BODY_BYTES);
        }
        let count = stream.read(&mut piece).await.map_err(|_| Loss::Closed)?;
        if count == 0 {
            let response = decoder.finish().map_err(|_| Loss::Closed)?;
            return if is_own(&response, message.id) {
                Ok((response, false))
            } else {
                Err(Loss::Closed)
            };
        }
        input.extend_from_slice(&piece[..count]);
    }
}

/// Whether a response may belong to the request: it has no identity or the same one.
fn is_own(response: &Response, id: Option<&str>) -> bool {
    let Some(id) = id else {
        return !response.headers.has(headers::REQUEST_ID);
    };
    !response.headers.has(headers::REQUEST_ID)
        || response.headers.single_value(headers::REQUEST_ID) == Some(id)
}
