//! Sends one request over a connection to a target, or to another instance, and reads the response.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use futures::{
    future::{Either, select},
    pin_mut,
};
use h1::{BodyBytes, MessageError, Response, ResponseDecoder};
use model::{TargetId, Time};
use platform::headers;

use crate::{
    pool::{CONNECT_LIMIT_US, ConnectError, await_slow_reader, may_fill_buffers},
    reach::{record_contact, record_silent, record_unreachable},
    resources::HeldBytes,
    response_bytes::ResponseBytes,
    scheduling::is_noticed_late,
    state::State,
};

/// Size of one read from the socket, in bytes.
const READ_BYTES: usize = 16 * 1_024;
/// Largest response body, in bytes. Responses are buffered whole, so that a retry can replace one
/// that breaks off.
const MAX_BODY_BYTES: u64 = 16 * 1_024 * 1_024;

/// Most responses to other requests before the one to this request.
const MAX_STRAY: usize = 8;
/// Reads in a row after which other tasks get their turn. A target that sends without end always has
/// the next bytes ready, and the deadline is not checked meanwhile.
const READS_PER_TURN: usize = 4;

/// Result of sending a request to a target.
#[derive(Debug)]
pub enum SendResult {
    /// The target responded with a complete response.
    Response(Box<Response>),
    /// Nothing was sent: no connection could be opened, or the target became ineligible meanwhile.
    NotSent(std::io::Error),
    /// Nothing was sent: as many connections to targets are open as the instance may have.
    NoRoom,
    /// No complete response arrived; the request may have run.
    NoResponse(ResponseError),
}

/// Reason why no complete response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The deadline passed.
    Timeout,
    /// The connection was closed or reset.
    Closed,
    /// The same, and the target has crashed: it refuses connections.
    Crashed,
    /// The bytes are not a valid response, or the response is too large.
    Malformed(MessageError),
    /// The instance has no memory for the response.
    NoRoom,
}

impl ResponseError {
    /// Whether the target may be at fault.
    pub fn is_of_target(self) -> bool {
        self != Self::NoRoom
    }
}

/// What tells the response to a request from late or surplus responses to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Id of the request, which its response carries.
    Request(&'a str),
    /// The request has no id. Only a new connection tells its response from others.
    Anonymous,
    /// The request asks for the health of this target, whose id the response carries.
    Health(&'a str),
}

/// A request encoded for a target.
#[derive(Clone, Copy, Debug)]
pub struct EncodedRequest<'a> {
    /// Method, which decides whether the response has a body.
    pub method: &'a str,
    /// How the response is told from others.
    pub identity: Identity<'a>,
    /// Head, and the body if it is small.
    pub head: &'a [u8],
    /// A large body.
    pub body: Option<&'a BodyBytes>,
    /// Memory of the caller's connection, from which the response is taken.
    pub held: Option<&'a Rc<HeldBytes>>,
    /// Target that the request is sent to, as evidence that it is reached or not; `None` for another
    /// instance.
    pub target: Option<&'a TargetId>,
}

/// Sends `request` to `addr` and reads the response until `deadline`. Calls `is_eligible` once the
/// connection is open, since the target may have become ineligible meanwhile. The connection
/// returns to the pool only if the target sent nothing but the response. Dropping the future closes
/// the connection, which cancels the request.
pub async fn exchange(
    state: &Rc<State>,
    addr: SocketAddr,
    request: EncodedRequest<'_>,
    deadline: Time,
    is_eligible: impl AsyncFn() -> bool,
) -> SendResult {
    let now = state.now();
    let pool = if request.target.is_some() {
        &state.pool
    } else {
        &state.peer_pool
    };
    let pooled = match request.identity {
        Identity::Anonymous => None,
        _ => pool.take(addr, now),
    };
    let is_pooled = pooled.is_some();
    let stream = match pooled {
        Some(stream) => stream,
        None => match pool.connect(addr).await {
            Ok(stream) => {
                if let Some(id) = request.target {
                    state.metrics.count("connections_opened", 1);
                    record_contact(state, id);
                }
                stream
            }
            Err(ConnectError::NoRoom) => return SendResult::NoRoom,
            Err(ConnectError::System(error)) => {
                let due = now.plus_us(CONNECT_LIMIT_US);
                let is_late = is_noticed_late(due, state.now());
                if let Some(id) = request.target
                    && !(error.kind() == ErrorKind::TimedOut && is_late)
                {
                    record_unreachable(state, id);
                }
                return SendResult::NotSent(error);
            }
        },
    };
    if !is_eligible().await {
        return SendResult::NotSent(std::io::Error::other("the target is leaving"));
    }
    let is_large = may_fill_buffers(request.head.len() + request.body.map_or(0, BodyBytes::len));
    if is_large && let Err(error) = await_slow_reader(&stream) {
        return SendResult::NotSent(error);
    }
    let left = Duration::from_micros(deadline.since_us(state.now()));
    let result = match timeout(left, run(state, &stream, request, is_pooled)).await {
        Ok(result) => result,
        Err(_) => Err(ResponseError::Timeout),
    };
    match result {
        Ok((response, is_clean)) => {
            if let Some(id) = request.target {
                record_contact(state, id);
            }
            if is_clean && response.keep_alive && !is_large {
                pool.put(addr, stream, keep_ms(&response), state.now());
            }
            SendResult::Response(Box::new(response))
        }
        Err(error) => {
            let is_evidence = match error {
                ResponseError::Closed => true,
                ResponseError::Timeout => !is_noticed_late(deadline, state.now()),
                _ => false,
            };
            if is_evidence {
                record_silent(state, request.target.into_iter());
            }
            if is_pooled {
                // The other idle connections to the target may be dead for the same reason.
                pool.close_all(addr);
            }
            SendResult::NoResponse(error)
        }
    }
}

/// Returns the idle timeout that the target states in `Keep-Alive`, in milliseconds.
fn keep_ms(response: &Response) -> Option<u64> {
    let value = response.headers.single_value("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds: u64 = parts
        .find_map(|p| p.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// A response as it was read from a connection.
struct Received {
    response: Response,
    /// What shows that the response is complete.
    end: ResponseEnd,
}

/// What shows that a response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseEnd {
    /// Its own length or last chunk. Nothing else was sent on the connection.
    Framed,
    /// The same, and other bytes were sent before or after it.
    FramedAmongOthers,
    /// Only the end of the connection.
    Connection,
}

/// Writes the request while reading the response. Also returns whether the connection can be
/// reused.
async fn run(
    state: &State,
    stream: &TcpStream,
    request: EncodedRequest<'_>,
    is_pooled: bool,
) -> Result<(Response, bool), ResponseError> {
    let mut writer = stream;
    let write = async {
        writer.write_all(request.head).await?;
        for segment in request.body.into_iter().flat_map(BodyBytes::segments) {
            writer.write_all(segment).await?;
        }
        Ok::<(), std::io::Error>(())
    };
    let read = read_response(state, stream, request, is_pooled);
    pin_mut!(write, read);
    // A target may respond and close before it has read the whole request. The system reports a reset
    // only once, to the write or to the read: after a failed write, the read sees a plain end.
    match select(write, read).await {
        Either::Left((written, read)) => {
            let received = read.await?;
            if received.end == ResponseEnd::Connection && written.is_err() {
                return Err(ResponseError::Closed);
            }
            Ok((received.response, received.end == ResponseEnd::Framed))
        }
        Either::Right((received, write)) => {
            let received = received?;
            if received.end == ResponseEnd::Connection {
                write.await.map_err(|_| ResponseError::Closed)?;
            }
            Ok((received.response, false))
        }
    }
}

async fn read_response(
    state: &State,
    mut stream: &TcpStream,
    request: EncodedRequest<'_>,
    is_pooled: bool,
) -> Result<Received, ResponseError> {
    let mut decoder = ResponseDecoder::new(request.method, MAX_BODY_BYTES);
    let mut share = state.response_buffers.begin();
    let mut held = request.held.map(ResponseBytes::begin);
    let mut input = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    let mut stray = 0;
    for read in 1.. {
        while let Some(response) = decoder.feed(&mut input).map_err(ResponseError::Malformed)? {
            if request.identity.is_of(&response, is_pooled) {
                let is_alone = stray == 0 && input.is_empty();
                let end = if is_alone {
                    ResponseEnd::Framed
                } else {
                    ResponseEnd::FramedAmongOthers
                };
                keep(held);
                return Ok(Received { response, end });
            }
            // This is a late or surplus response to an earlier request; the one to this request follows.
            stray += 1;
            if stray > MAX_STRAY {
                return Err(ResponseError::Malformed(MessageError::TooManyResponses));
            }
            decoder = ResponseDecoder::new(request.method, MAX_BODY_BYTES);
        }
        if read % READS_PER_TURN == 0 {
            task::yield_now().await;
        }
        let count = stream
            .read(&mut chunk)
            .await
            .map_err(|_| ResponseError::Closed)?;
        if count == 0 {
            break;
        }
        share.take(count as u64).map_err(ResponseError::Malformed)?;
        if held
            .as_mut()
            .is_some_and(|held| !held.take(count as u64, state.now()))
        {
            return Err(ResponseError::NoRoom);
        }
        input.extend_from_slice(&chunk[..count]);
    }
    let response = decoder.finish().map_err(|_| ResponseError::Closed)?;
    if request.identity.is_of(&response, is_pooled) {
        let end = ResponseEnd::Connection;
        keep(held);
        Ok(Received { response, end })
    } else {
        Err(ResponseError::Closed)
    }
}

/// Leaves the memory of a response to its request.
fn keep(held: Option<ResponseBytes>) {
    if let Some(held) = held {
        held.keep();
    }
}

impl Identity<'_> {
    /// Whether a response belongs to the request. One without an id does only if nothing else was sent
    /// on the connection before: a target may write an earlier response once more. `is_pooled` states
    /// whether there were earlier requests.
    fn is_of(self, response: &Response, is_pooled: bool) -> bool {
        let has_id = response.headers.has(headers::REQUEST_ID);
        match self {
            Self::Request(id) if has_id => {
                response.headers.single_value(headers::REQUEST_ID) == Some(id)
            }
            Self::Request(_) | Self::Anonymous => !has_id && !is_pooled,
            Self::Health(_) if has_id => false,
            Self::Health(target) => match response.headers.single_value(headers::TARGET) {
                Some(other) => other == target || !is_pooled,
                None => !is_pooled,
            },
        }
    }
}

#[cfg(test)]
mod tests;
