//! Responses of an upstream, with or without faults.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use async_std::{
    io::{self, BufReader, Read, WriteExt},
    net::TcpStream,
};
use http_types::{Body, Request, Response};

/// Default size of a response body, in bytes.
pub const RESPONSE_BYTES: usize = 64;
/// Request header that sets the size of the response body, in bytes.
const SIZE_HEADER: &str = "x-answer-bytes";

/// What the response to a call carries: the call's ids and the size of the body.
#[derive(Clone, Debug, Default)]
pub(super) struct CallEcho {
    /// Id that the instance gave the call.
    pub(super) call_id: Option<String>,
    /// Id that the caller gave the call.
    pub(super) caller_id: Option<String>,
    body_len: usize,
}

impl CallEcho {
    /// Reads the headers of a request.
    pub(super) fn from_request(req: &Request) -> Self {
        let text = |name: &str| req.header(name).map(|v| v.as_str().to_owned());
        let body_len = text(SIZE_HEADER).and_then(|v| v.parse().ok());
        Self {
            call_id: text("hw-call"),
            caller_id: text(crate::CALL_ID_HEADER),
            body_len: body_len.unwrap_or(RESPONSE_BYTES),
        }
    }

    /// Returns the response body: the caller's id, padded to the requested size.
    pub(super) fn body(&self) -> Vec<u8> {
        let mut body = self.caller_id.clone().unwrap_or_default().into_bytes();
        body.resize(self.body_len.max(body.len()), b'x');
        body
    }

    /// Sets the header with the id that the instance gave the call.
    pub(super) fn set_id(&self, response: &mut Response) {
        if let Some(call_id) = &self.call_id {
            response.insert_header("hw-call", call_id.as_str());
        }
    }
}

/// Returns a body that announces the whole size but breaks the connection after half of it.
pub(super) fn truncated_body(bytes: Vec<u8>) -> Body {
    let announced = bytes.len();
    let mut half = bytes;
    half.truncate(announced / 2);
    let reader = BreakingReader { rest: half };
    Body::from_reader(BufReader::new(reader), Some(announced))
}

/// Writes a response without a `date` header directly to the connection.
pub(super) async fn write_response(stream: &TcpStream, echo: &CallEcho) -> io::Result<()> {
    let body = echo.body();
    let call_id = echo.call_id.as_deref().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nhw-call: {call_id}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    let mut out = stream;
    out.write_all(&bytes).await
}

/// A reader that fails with a connection reset once its data has been read.
struct BreakingReader {
    rest: Vec<u8>,
}

impl Read for BreakingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.rest.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let count = self.rest.len().min(buf.len());
        buf[..count].copy_from_slice(&self.rest[..count]);
        self.rest.drain(..count);
        Poll::Ready(Ok(count))
    }
}
