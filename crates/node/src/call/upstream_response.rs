//! Forwards an upstream's response to the caller. Reading the body of the response also sends the rest
//! of the request, checks the length of the body, and reports the end of the attempt.

use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use futures::io::{AsyncRead, BufReader};
use http_types::{Body, Method, Response};
use model::Code;
use policy::AttemptEnd;
use wire::KeyState;

use crate::call::{
    active_call::ActiveCall,
    exchange::Exchange,
    head::{Length, has_header},
    headers::{response_hop_headers, says_close},
    keys::KeyGuard,
    response::mark,
    send_half::Sending,
};

/// Headers that the HTTP library adds to a response that does not have them.
const ADDED_HEADERS: [&str; 2] = ["content-type", "date"];
/// Size of the buffer between upstream and caller, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A response of an upstream, of which the head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    head: Response,
    forwarded: ForwardedBody,
}

impl UpstreamResponse {
    /// Creates a response whose body has `length`. `sending` sends the rest of the request.
    pub fn new(
        exchange: Exchange,
        mut head: Response,
        length: Length,
        mut sending: Option<Sending>,
    ) -> Self {
        // An upstream that rejects a request early does not read the rest.
        if head.status().is_client_error() || head.status().is_server_error() {
            sending = None;
        }
        let end = if head.status().is_server_error() {
            AttemptEnd::Error
        } else {
            AttemptEnd::Good
        };
        let body = head.take_body();
        let closes = says_close(head.as_ref());
        let forwarded = ForwardedBody {
            exchange,
            body,
            length,
            bytes_read: 0,
            sending,
            end,
            closes,
            key: None,
        };
        Self { head, forwarded }
    }

    /// Returns whether the request has not been sent completely yet.
    pub const fn is_sending(&self) -> bool {
        self.forwarded.sending.is_some()
    }

    /// Returns the response for the caller. Reading its body completes the exchange.
    pub fn into_response(self, key: Option<KeyGuard>) -> Response {
        let Self {
            head,
            mut forwarded,
        } = self;
        forwarded.key = key;
        let active_call = Arc::clone(&forwarded.exchange.active_call);
        if head
            .header("hw-call")
            .is_some_and(|echo| echo.as_str() != active_call.wire_id)
        {
            active_call
                .ctx
                .violation(Code::AnswerMixed, &active_call.wire_id);
        }
        let mut dropped_headers = response_hop_headers(head.as_ref());
        let read_state = forwarded.exchange.read_state.clone();
        let raw = read_state
            .as_ref()
            .and_then(|s| s.head())
            .unwrap_or_default();
        let added = ADDED_HEADERS.iter().filter(|name| !has_header(raw, name));
        dropped_headers.extend(added.map(|&name| name.to_owned()));
        let mut response = Response::new(head.status());
        let length = forwarded.length;
        if length == Length::Bytes(0) || length == Length::Absent {
            forwarded.complete();
            response.set_body(empty_body(&active_call, &head));
        } else {
            let stated_bytes = match length {
                Length::Bytes(bytes) => usize::try_from(bytes).ok(),
                _ => None,
            };
            let reader = BufReader::with_capacity(BUFFER_BYTES, forwarded);
            response.set_body(Body::from_reader(reader, stated_bytes));
        }
        response.remove_header("content-type");
        for (name, values) in &head {
            if !dropped_headers.contains(name.as_str()) {
                response.insert_header(name, values);
            }
        }
        mark(&mut response, Code::Served);
        response
    }
}

/// Returns an empty body. The response to a HEAD request keeps the length that its headers state.
fn empty_body(active_call: &ActiveCall, head: &Response) -> Body {
    if active_call.head.method() != Method::Head {
        return Body::empty();
    }
    let stated = head.header("content-length");
    let stated = stated.and_then(|v| v.as_str().parse().ok());
    Body::from_reader(futures::io::empty(), Some(stated.unwrap_or(0)))
}

/// The body of a response while it is forwarded to the caller.
pub struct ForwardedBody {
    exchange: Exchange,
    body: Body,
    length: Length,
    bytes_read: u64,
    sending: Option<Sending>,
    end: AttemptEnd,
    closes: bool,
    key: Option<KeyGuard>,
}

impl fmt::Debug for ForwardedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("exchange", &self.exchange)
            .field("length", &self.length)
            // The names in the debug output are stable and differ from those in the code.
            .field("got", &self.bytes_read)
            .finish_non_exhaustive()
    }
}

impl ForwardedBody {
    /// Ends the exchange after the whole response has arrived.
    fn complete(&mut self) {
        let exchange = &mut self.exchange;
        exchange.active_call.set_service_us(exchange.service_us());
        let expected = match self.length {
            Length::Absent => Some(0),
            Length::Bytes(bytes) => Some(bytes),
            // The HTTP library reports bytes after the last chunk as an error.
            Length::Chunked => None,
        };
        let body_read = exchange.read_state.as_ref().map(|s| s.body_read());
        let no_excess = expected.is_none() || expected == body_read;
        if exchange.send_state.is_complete() && !self.closes && no_excess {
            exchange.keep_conn();
        }
        // Closes a connection that is not reused before the dispatcher frees the slot.
        exchange.conn = None;
        exchange.end(self.end, false);
        if let Some(key) = self.key.take() {
            key.end(KeyState::Done);
        }
    }

    /// Ends the exchange because the body ended early, and returns the error for the reader.
    fn fail(&mut self, code: Code, text: &str) -> io::Error {
        self.exchange.active_call.set_cut_code(code);
        self.exchange.end(AttemptEnd::Cut, false);
        self.exchange.conn = None;
        io::Error::new(io::ErrorKind::UnexpectedEof, text)
    }

    /// Counts `count` bytes of the body, where 0 is its end, and detects a complete or short body.
    fn count_bytes(&mut self, count: usize) -> io::Result<()> {
        self.bytes_read += count as u64;
        match self.length {
            Length::Chunked if count == 0 => self.complete(),
            Length::Bytes(bytes) if self.bytes_read == bytes => self.complete(),
            Length::Bytes(bytes) if count == 0 => {
                let text = format!(
                    "response body ended after {} of {bytes} bytes",
                    self.bytes_read
                );
                return Err(self.fail(Code::ShortBody, &text));
            }
            _ => (),
        }
        Ok(())
    }
}

impl AsyncRead for ForwardedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if let Some(sending) = &mut this.sending
            && sending.as_mut().poll(cx).is_ready()
        {
            this.sending = None;
        }
        if this.length == Length::Bytes(this.bytes_read) {
            return Poll::Ready(Ok(0));
        }
        this.exchange.waiting = true;
        let count = match ready!(Pin::new(&mut this.body).poll_read(cx, buf)) {
            Ok(count) => count,
            Err(error) => {
                let error = this.fail(Code::UpstreamClosed, &error.to_string());
                return Poll::Ready(Err(error));
            }
        };
        this.exchange.waiting = false;
        this.count_bytes(count)?;
        Poll::Ready(Ok(count))
    }
}
