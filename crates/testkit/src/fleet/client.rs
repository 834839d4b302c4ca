//! An HTTP client for the gateway and its directory.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use h1::{Response, ResponseDecoder};

/// A request to the gateway.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Value of `X-Hibiscusway-Request-Id`; it differs for each request.
    pub id: String,
    /// Key of a workspace, sent in `Authorization`.
    pub key: Option<String>,
    /// Value of `X-Hibiscusway-Deadline-Ms`, in milliseconds.
    pub deadline_ms: u64,
    /// Request body.
    pub body: Vec<u8>,
}

/// Result of a request as the client sees it.
#[derive(Clone, Debug)]
pub enum FleetResult {
    /// A complete response arrived.
    Response(Box<Response>),
    /// No connection could be opened.
    Unreachable,
    /// The connection ended without a complete response.
    Cut,
    /// No complete response arrived within one second after the deadline.
    Nothing,
}

impl FleetResult {
    /// Returns the status of the response, or 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(response) => response.status,
            _ => 0,
        }
    }

    /// Returns the value of a header that the response has once.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            Self::Response(response) => response.headers.single_value(name),
            _ => None,
        }
    }

    /// Returns whether the response has status 200, a signature, the request id `id` and the body
    /// that [`super::FleetTarget`] sends for this id.
    #[must_use]
    pub fn is_served(&self, id: &str) -> bool {
        let Self::Response(response) = self else {
            return false;
        };
        let body = String::from_utf8_lossy(&response.body);
        response.status == 200
            && response.headers.has("x-hibiscusway-response-signature")
            && response.headers.single_value("x-hibiscusway-request-id") == Some(id)
            && body.starts_with(&format!("{id}:"))
    }
}

impl FleetRequest {
    /// Returns the request as sent.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Hibiscusway-Request-Id: {}\r\n\
             X-Hibiscusway-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        if let Some(key) = &self.key {
            let line = format!("Authorization: Token {key}\r\n");
            bytes += &line;
        }
        if !self.body.is_empty() || self.method == "POST" {
            let line = format!("Content-Length: {}\r\n", self.body.len());
            bytes += &line;
        }
        bytes += "\r\n";
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection.
pub async fn send(addr: SocketAddr, request: &FleetRequest) -> FleetResult {
    let limit = Duration::from_millis(request.deadline_ms + 1_000);
    let sent = timeout(limit, fetch(addr, request.method, &request.bytes())).await;
    match sent {
        Ok(result) => result,
        Err(_) => FleetResult::Nothing,
    }
}

/// Sends a request on `kept`, a connection that earlier requests have used, or on a new one. Also returns
/// the connection, unless it has ended.
pub async fn send_keeping(
    kept: Option<TcpStream>,
    addr: SocketAddr,
    request: &FleetRequest,
) -> (FleetResult, Option<TcpStream>) {
    let limit = Duration::from_millis(request.deadline_ms + 1_000);
    let stream = match kept {
        Some(stream) => Ok(stream),
        None => TcpStream::connect(addr).await,
    };
    let Ok(mut stream) = stream else {
        return (FleetResult::Unreachable, None);
    };
    let bytes = request.bytes();
    match timeout(limit, read(&mut stream, request.method, &bytes)).await {
        Ok(Ok(response)) => {
            let kept = response.keep_alive.then_some(stream);
            (FleetResult::Response(Box::new(response)), kept)
        }
        Ok(Err(_)) => (FleetResult::Cut, None),
        Err(_) => (FleetResult::Nothing, None),
    }
}

/// Sends bytes on a new connection and reads one response. `method` is the method of the request in
/// `bytes`.
pub async fn fetch(addr: SocketAddr, method: &str, bytes: &[u8]) -> FleetResult {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return FleetResult::Unreachable;
    };
    match read(&mut stream, method, bytes).await {
        Ok(response) => FleetResult::Response(Box::new(response)),
        Err(_) => FleetResult::Cut,
    }
}

async fn read(stream: &mut TcpStream, method: &str, bytes: &[u8]) -> io::Result<Response> {
    stream.write_all(bytes).await?;
    let mut decoder = ResponseDecoder::new(method, 64 * 1024 * 1024);
    let mut input = Vec::new();
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let len = stream.read(&mut chunk).await?;
        // The gateway states the length of each response, so that one that breaks off shows.
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        input.extend_from_slice(&chunk[..len]);
        if let Some(response) = decoder.feed(&mut input).map_err(io::Error::other)? {
            return Ok(response);
        }
    }
}

/// Asks an instance's directory for the addresses of `host`. Returns an empty list if there is no
/// valid answer within one second.
pub async fn query_directory(addr: SocketAddr, host: &str, zone: &str) -> Vec<SocketAddr> {
    let request =
        format!("GET /-/resolve?name={host}&region=r&zone={zone} HTTP/1.1\r\nHost: d\r\n\r\n");
    let result = timeout(
        Duration::from_secs(1),
        fetch(addr, "GET", request.as_bytes()),
    )
    .await;
    let Ok(FleetResult::Response(response)) = result else {
        return Vec::new();
    };
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    addresses
        .iter()
        .filter_map(|a| a.as_str()?.parse().ok())
        .collect()
}
