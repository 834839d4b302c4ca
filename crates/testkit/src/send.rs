//! Sends a call on a given connection.

use std::net::SocketAddr;

use async_std::{io::ReadExt, net::TcpStream};
use http_types::{Method, Request, StatusCode, Url};

/// A call to send.
#[derive(Clone, Debug)]
pub struct CallSpec<'a> {
    /// Value of `hw-service`.
    pub service: &'a str,
    /// Value of `hw-class`.
    pub class: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
    /// Additional headers.
    pub headers: &'a [(&'a str, &'a str)],
}

/// The response to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `hw-code`.
    pub code: Option<u16>,
    /// Value of `hw-outcome`.
    pub outcome: Option<String>,
    /// Value of `hw-retry-after-ms`.
    pub retry_ms: Option<u64>,
    /// Response body.
    pub body: Vec<u8>,
}

/// Sends a call on `stream` and reads the complete response.
///
/// # Errors
///
/// Returns an error if the connection breaks or the response is malformed or shorter than
/// announced.
pub async fn send_call(
    stream: TcpStream,
    addr: SocketAddr,
    spec: &CallSpec<'_>,
) -> http_types::Result<CallResponse> {
    let url = Url::parse(&format!("http://{addr}{}", spec.path))?;
    let mut req = Request::new(Method::Post, url);
    req.insert_header("hw-service", spec.service);
    req.insert_header("hw-class", spec.class);
    for (name, value) in spec.headers {
        req.insert_header(*name, *value);
    }
    req.set_body(spec.body);
    let mut response = Box::pin(async_h1::connect(stream, req)).await?;
    let text = |name: &str| response.header(name).map(|v| v.as_str().to_owned());
    let code = text("hw-code").and_then(|c| c.parse().ok());
    let outcome = text("hw-outcome");
    let retry_ms = text("hw-retry-after-ms").and_then(|ms| ms.parse().ok());
    let status = u16::from(response.status());
    let announced = response.len();
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    if announced.is_some_and(|len| len != body.len()) {
        let text = format!(
            "the body has {} bytes, announced were {announced:?}",
            body.len()
        );
        return Err(http_types::Error::from_str(StatusCode::BadGateway, text));
    }
    Ok(CallResponse {
        status,
        code,
        outcome,
        retry_ms,
        body,
    })
}
