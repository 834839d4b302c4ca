//! One HTTP/1.1 exchange on a connection of its own, with a time limit and a bounded answer.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, io::ReadExt, net::TcpStream};
use http_types::{Method, Request, Url};

use crate::PlatformError;

/// Largest answer body accepted, in bytes. A read of 256 records of 64 KiB fits.
const MAX_ANSWER_BYTES: u64 = 20 * 1024 * 1024;

/// A request to one server.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// Server.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Bearer token, if any.
    pub token: Option<&'a str>,
    /// JSON body; empty for none.
    pub body: &'a [u8],
    /// Time limit of the whole exchange, in milliseconds.
    pub limit_ms: u64,
}

/// An answer with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Any [`PlatformError`] but `Status`; the caller judges the status.
pub async fn exchange(request: &HttpRequest<'_>) -> Result<HttpAnswer, PlatformError> {
    let limit = Duration::from_millis(request.limit_ms);
    match timeout(limit, exchange_unlimited(request)).await {
        Ok(answer) => answer,
        Err(_) => Err(PlatformError::Timeout {
            addr: request.addr,
            limit_ms: request.limit_ms,
        }),
    }
}

async fn exchange_unlimited(request: &HttpRequest<'_>) -> Result<HttpAnswer, PlatformError> {
    let addr = request.addr;
    let broken = |detail: String| PlatformError::Broken { addr, detail };
    let message = build(request).map_err(|e| broken(e.to_string()))?;
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|e| broken(e.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|e| broken(e.to_string()))?;
    let mut answer = Box::pin(async_h1::connect(stream, message))
        .await
        .map_err(|e| broken(e.to_string()))?;
    let status = u16::from(answer.status());
    let announced = answer.len();
    let mut body = Vec::new();
    let mut reader = answer.take_body().take(MAX_ANSWER_BYTES + 1);
    reader
        .read_to_end(&mut body)
        .await
        .map_err(|e| broken(e.to_string()))?;
    check_length(addr, announced, body.len())?;
    Ok(HttpAnswer { status, body })
}

fn check_length(
    addr: SocketAddr,
    announced: Option<usize>,
    got: usize,
) -> Result<(), PlatformError> {
    let fail = |detail: String| Err(PlatformError::Body { addr, detail });
    if got as u64 > MAX_ANSWER_BYTES {
        return fail(format!("answer larger than {MAX_ANSWER_BYTES} bytes"));
    }
    match announced {
        Some(len) if len != got => fail(format!("got {got} of {len} bytes")),
        _ => Ok(()),
    }
}

fn build(request: &HttpRequest<'_>) -> http_types::Result<Request> {
    let url = Url::parse(&format!("http://{}{}", request.addr, request.path))?;
    let mut message = Request::new(request.method, url);
    message.insert_header("connection", "close");
    if let Some(token) = request.token {
        message.insert_header("authorization", format!("Bearer {token}"));
    }
    if !request.body.is_empty() {
        message.set_body(request.body);
        message.insert_header("content-type", "application/json");
    }
    Ok(message)
}
