//! Answers as they go onto the wire, right or wrong.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use async_std::{
    io::{self, BufReader, Read, WriteExt},
    net::TcpStream,
};
use http_types::{Body, Request, Response};

/// Size of an answer whose caller asked for none, in bytes.
pub const ANSWER_BYTES: usize = 64;
/// Header by which a caller asks for a size of the answer in bytes.
const SIZE_HEADER: &str = "x-answer-bytes";

/// What identifies a call in its answer: the id that the instance gave it, and the caller's.
#[derive(Clone, Debug, Default)]
pub(super) struct CallMark {
    pub(super) call: Option<String>,
    pub(super) id: Option<String>,
    bytes: usize,
}

impl CallMark {
    pub(super) fn of(req: &Request) -> Self {
        let text = |name: &str| req.header(name).map(|v| v.as_str().to_owned());
        let bytes = text(SIZE_HEADER).and_then(|v| v.parse().ok());
        Self {
            call: text("hw-call"),
            id: text(crate::CALL_ID_HEADER),
            bytes: bytes.unwrap_or(ANSWER_BYTES),
        }
    }

    /// The caller's id, filled up to the size asked for.
    pub(super) fn body(&self) -> Vec<u8> {
        let mut body = self.id.clone().unwrap_or_default().into_bytes();
        body.resize(self.bytes.max(body.len()), b'x');
        body
    }

    pub(super) fn write_id(&self, response: &mut Response) {
        if let Some(call) = &self.call {
            response.insert_header("hw-call", call.as_str());
        }
    }
}

/// A body that announces its whole size but breaks the connection after half.
pub(super) fn short_body(bytes: Vec<u8>) -> Body {
    let announced = bytes.len();
    let mut half = bytes;
    half.truncate(announced / 2);
    let reader = BreakingReader { rest: half };
    Body::from_reader(BufReader::new(reader), Some(announced))
}

/// Writes an answer past the server, without a `date` header.
pub(super) async fn write_answer(stream: &TcpStream, mark: &CallMark) -> io::Result<()> {
    let body = mark.body();
    let call = mark.call.as_deref().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nhw-call: {call}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    let mut out = stream;
    out.write_all(&bytes).await
}

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
