//! Forwards an upstream's answer to the caller. Reading the answer's body also sends the rest of the
//! request, checks the body's length, and reports the end of the attempt.

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
    headers::{answer_hop_headers, says_close},
    keys::KeyGuard,
    response::mark,
    send_half::Sending,
};

/// Headers that the HTTP library adds to an answer that does not have them.
const ADDED_HEADERS: [&str; 2] = ["content-type", "date"];
/// Size of the buffer between upstream and caller, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// An upstream's answer whose head has arrived.
#[derive(Debug)]
pub struct Answer {
    head: Response,
    passing: Passing,
}

impl Answer {
    /// Creates an answer whose body has `length`. `sending` sends the rest of the request.
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
        let passing = Passing {
            exchange,
            body,
            length,
            got: 0,
            sending,
            end,
            closes,
            key: None,
        };
        Self { head, passing }
    }

    /// Returns whether a part of the request has yet to be sent.
    pub const fn is_sending(&self) -> bool {
        self.passing.sending.is_some()
    }

    /// Returns the response for the caller. Reading its body completes the exchange.
    pub fn into_response(self, key: Option<KeyGuard>) -> Response {
        let Self { head, mut passing } = self;
        passing.key = key;
        let active_call = Arc::clone(&passing.exchange.active_call);
        if head
            .header("hw-call")
            .is_some_and(|echo| echo.as_str() != active_call.wire_id)
        {
            active_call
                .ctx
                .violation(Code::AnswerMixed, &active_call.wire_id);
        }
        let mut hop = answer_hop_headers(head.as_ref());
        let seen = passing.exchange.seen.clone();
        let raw = seen.as_ref().and_then(|s| s.head()).unwrap_or_default();
        let added = ADDED_HEADERS.iter().filter(|name| !has_header(raw, name));
        hop.extend(added.map(|&name| name.to_owned()));
        let mut response = Response::new(head.status());
        let length = passing.length;
        if length == Length::Bytes(0) || length == Length::Absent {
            passing.complete();
            response.set_body(empty_body(&active_call, &head));
        } else {
            let announced = match length {
                Length::Bytes(bytes) => usize::try_from(bytes).ok(),
                _ => None,
            };
            let reader = BufReader::with_capacity(BUFFER_BYTES, passing);
            response.set_body(Body::from_reader(reader, announced));
        }
        response.remove_header("content-type");
        for (name, values) in &head {
            if !hop.contains(name.as_str()) {
                response.insert_header(name, values);
            }
        }
        mark(&mut response, Code::Served);
        response
    }
}

/// Returns the body for an answer without one. The answer to a HEAD request keeps the stated length.
fn empty_body(active_call: &ActiveCall, head: &Response) -> Body {
    if active_call.head.method() != Method::Head {
        return Body::empty();
    }
    let stated = head.header("content-length");
    let stated = stated.and_then(|v| v.as_str().parse().ok());
    Body::from_reader(futures::io::empty(), Some(stated.unwrap_or(0)))
}

/// The body of an answer while it is forwarded to the caller.
pub struct Passing {
    exchange: Exchange,
    body: Body,
    length: Length,
    got: u64,
    sending: Option<Sending>,
    end: AttemptEnd,
    closes: bool,
    key: Option<KeyGuard>,
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("exchange", &self.exchange)
            .field("length", &self.length)
            .field("got", &self.got)
            .finish_non_exhaustive()
    }
}

impl Passing {
    /// Ends the exchange after the whole answer has arrived.
    fn complete(&mut self) {
        let exchange = &mut self.exchange;
        exchange.active_call.set_service_us(exchange.service_us());
        let exact = match self.length {
            Length::Absent => Some(0),
            Length::Bytes(bytes) => Some(bytes),
            // The library reports bytes after the last chunk as an error.
            Length::Chunked => None,
        };
        let seen = exchange.seen.as_ref().map(|s| s.body_read());
        let in_step = exact.is_none() || exact == seen;
        if exchange.send_state.is_complete() && !self.closes && in_step {
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
        self.exchange.active_call.set_cut(code);
        self.exchange.end(AttemptEnd::Cut, false);
        self.exchange.conn = None;
        io::Error::new(io::ErrorKind::UnexpectedEof, text)
    }

    /// Counts `count` bytes of the body, where 0 is its end, and detects a complete or short body.
    fn record(&mut self, count: usize) -> io::Result<()> {
        self.got += count as u64;
        match self.length {
            Length::Chunked if count == 0 => self.complete(),
            Length::Bytes(bytes) if self.got == bytes => self.complete(),
            Length::Bytes(bytes) if count == 0 => {
                let text = format!("answer ended after {} of {bytes} bytes", self.got);
                return Err(self.fail(Code::ShortBody, &text));
            }
            _ => (),
        }
        Ok(())
    }
}

impl AsyncRead for Passing {
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
        if this.length == Length::Bytes(this.got) {
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
        this.record(count)?;
        Poll::Ready(Ok(count))
    }
}
