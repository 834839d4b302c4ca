//! The question which addresses to use.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, io::ReadExt, net::TcpStream};
use http_types::{Method, Request, Url};
use serde::Deserialize;

/// Time for a whole answer.
const LIMIT: Duration = Duration::from_secs(1);
/// Largest answer read, in bytes.
const MAX_BYTES: u64 = 64 * 1024;

/// Answer of `GET /v1/addresses`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct AddressAnswer {
    /// Addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be kept, in milliseconds.
    pub max_age_ms: u64,
    /// Log offset in force at the instance that answered.
    #[serde(default)]
    pub offset: u64,
}

/// Asks the instance at `entry` which addresses to use. `None` if it gives no usable answer.
pub async fn ask_addresses(entry: SocketAddr, service: &str, zone: &str) -> Option<AddressAnswer> {
    let url = format!("http://{entry}/v1/addresses?service={service}&zone={zone}");
    let url = Url::parse(&url).ok()?;
    let asked = timeout(LIMIT, Box::pin(ask(entry, Request::new(Method::Get, url))));
    asked.await.ok()?.ok()
}

async fn ask(entry: SocketAddr, req: Request) -> http_types::Result<AddressAnswer> {
    let stream = TcpStream::connect(entry).await?;
    let mut answer = async_h1::connect(stream, req).await?;
    let offset = answer.header("hw-offset").map(|v| v.as_str().parse());
    let mut body = Vec::new();
    let limited = answer.take_body().take(MAX_BYTES);
    futures::AsyncReadExt::read_to_end(&mut Box::pin(limited), &mut body).await?;
    let mut parsed: AddressAnswer = serde_json::from_slice(&body)?;
    parsed.offset = offset.transpose()?.unwrap_or(0);
    Ok(parsed)
}
