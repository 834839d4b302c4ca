//! One HTTP/1.1 exchange on a new connection, with a time limit and a size limit of the response.

use std::{net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{self, ReadExt},
    net::TcpStream,
};
use http_types::{Method, Request, Url};

use crate::StoreError;

/// Largest accepted response body, in bytes. A read of 256 records of 64 KiB fits.
const MAX_RESPONSE_BYTES: u64 = 20 * 1024 * 1024;

/// A request to send to one server.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// Address of the server.
    pub addr: SocketAddr,
    /// HTTP method.
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

/// A response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
}

impl HttpRequest<'_> {
    /// Returns method and path for error messages.
    pub(crate) fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    fn broken(&self, detail: &impl ToString) -> StoreError {
        StoreError::Broken {
            addr: self.addr,
            request: self.name(),
            detail: detail.to_string(),
        }
    }
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Returns any [`StoreError`] but `Status`; the caller checks the status.
pub async fn exchange(request: &HttpRequest<'_>) -> Result<HttpAnswer, StoreError> {
    let limit = Duration::from_millis(request.limit_ms);
    let exchanged = timeout(limit, Box::pin(exchange_unlimited(request))).await;
    exchanged.unwrap_or_else(|_| {
        Err(StoreError::Timeout {
            addr: request.addr,
            request: request.name(),
            limit_ms: request.limit_ms,
        })
    })
}

/// Performs an exchange without a time limit.
async fn exchange_unlimited(request: &HttpRequest<'_>) -> Result<HttpAnswer, StoreError> {
    let message = build_request(request).map_err(|e| request.broken(&e))?;
    let stream = connect(request.addr).await?;
    let mut response = async_h1::connect(stream, message)
        .await
        .map_err(|e| request.broken(&e))?;
    let status = u16::from(response.status());
    let announced = response.len();
    let mut body = Vec::new();
    let mut reader = response.take_body().take(MAX_RESPONSE_BYTES + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|e| request.broken(&e))?;
    check_length(request, announced, body.len())?;
    Ok(HttpAnswer { status, body })
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, StoreError> {
    let failed = |e: io::Error| StoreError::Connect {
        addr,
        detail: e.to_string(),
    };
    let stream = TcpStream::connect(addr).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    Ok(stream)
}

/// Checks the length of a response body against the size limit and the announced length.
fn check_length(
    request: &HttpRequest<'_>,
    announced: Option<usize>,
    received: usize,
) -> Result<(), StoreError> {
    let addr = request.addr;
    if received as u64 > MAX_RESPONSE_BYTES {
        return Err(StoreError::TooLarge {
            addr,
            request: request.name(),
            limit: MAX_RESPONSE_BYTES,
        });
    }
    match announced {
        Some(len) if len != received => Err(StoreError::Body {
            addr,
            request: request.name(),
            detail: format!("received {received} of {len} bytes"),
        }),
        _ => Ok(()),
    }
}

fn build_request(request: &HttpRequest<'_>) -> http_types::Result<Request> {
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
