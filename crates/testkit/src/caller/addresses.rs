//! Address queries of a caller.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, io::ReadExt, net::TcpStream};
use http_types::{Method, Request, Url};
use serde::Deserialize;

/// Maximum time for a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Response to `GET /v1/addresses`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct AddressResponse {
    /// Addresses of instances in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the response, in milliseconds.
    pub max_age_ms: u64,
    /// Log offset in force at the instance that answered, from the header `hw-offset`.
    #[serde(default)]
    pub offset: u64,
}

/// Queries the instance at `instance` for the addresses of a service. Returns `None` if there is no
/// valid response within one second.
pub async fn query_addresses(
    instance: SocketAddr,
    service: &str,
    zone: &str,
) -> Option<AddressResponse> {
    let url = format!("http://{instance}/v1/addresses?service={service}&zone={zone}");
    let url = Url::parse(&url).ok()?;
    let queried = timeout(
        QUERY_TIMEOUT,
        Box::pin(send_query(instance, Request::new(Method::Get, url))),
    );
    queried.await.ok()?.ok()
}

async fn send_query(instance: SocketAddr, req: Request) -> http_types::Result<AddressResponse> {
    let stream = TcpStream::connect(instance).await?;
    let mut response = async_h1::connect(stream, req).await?;
    let offset = response.header("hw-offset").map(|v| v.as_str().parse());
    let mut body = Vec::new();
    let limited = response.take_body().take(MAX_BODY_BYTES);
    futures::AsyncReadExt::read_to_end(&mut Box::pin(limited), &mut body).await?;
    let mut parsed: AddressResponse = serde_json::from_slice(&body)?;
    parsed.offset = offset.transpose()?.unwrap_or(0);
    Ok(parsed)
}
