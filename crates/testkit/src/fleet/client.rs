//! A client of the gateway.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use h1::{Response, ResponseDecoder};

/// A request.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Host.
    pub host: String,
    /// Identity of this attempt.
    pub id: String,
    /// Time that the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Body.
    pub body: Vec<u8>,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub enum FleetAnswer {
    /// A whole response.
    Response(Box<Response>),
    /// No connection.
    Unreachable,
    /// The connection ended without a whole response.
    Cut,
    /// Nothing within the deadline and a second.
    Nothing,
}

impl FleetAnswer {
    /// Status of the response, 0 without one.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(response) => response.status,
            _ => 0,
        }
    }

    /// Whether it is a success with signature, identity and the body that a target makes for `id`.
    #[must_use]
    pub fn is_proper(&self, id: &str) -> bool {
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
    /// The bytes of the request.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Hibiscusway-Request-Id: {}\r\n\
             X-Hibiscusway-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
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

/// Sends a request on a connection of its own.
pub async fn send(addr: SocketAddr, request: &FleetRequest) -> FleetAnswer {
    let limit = Duration::from_millis(request.deadline_ms + 1_000);
    let sent = timeout(limit, fetch(addr, request.method, &request.bytes())).await;
    match sent {
        Ok(answer) => answer,
        Err(_) => FleetAnswer::Nothing,
    }
}

/// Sends bytes on a connection of their own and reads one response.
pub async fn fetch(addr: SocketAddr, method: &str, bytes: &[u8]) -> FleetAnswer {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return FleetAnswer::Unreachable;
    };
    match read(&mut stream, method, bytes).await {
        Ok(response) => FleetAnswer::Response(Box::new(response)),
        Err(_) => FleetAnswer::Cut,
    }
}

async fn read(stream: &mut TcpStream, method: &str, bytes: &[u8]) -> io::Result<Response> {
    stream.write_all(bytes).await?;
    let mut decoder = ResponseDecoder::new(method, 64 * 1024 * 1024);
    let mut input = Vec::new();
    let mut piece = vec![0; 16 * 1024];
    loop {
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return decoder.finish().map_err(io::Error::other);
        }
        input.extend_from_slice(&piece[..count]);
        if let Some(response) = decoder.feed(&mut input).map_err(io::Error::other)? {
            return Ok(response);
        }
    }
}

/// Asks an instance which addresses to use; empty if it does not answer.
pub async fn ask_directory(addr: SocketAddr, host: &str, zone: &str) -> Vec<SocketAddr> {
    let request =
        format!("GET /-/resolve?name={host}&region=r&zone={zone} HTTP/1.1\r\nHost: d\r\n\r\n");
    let answer = timeout(
        Duration::from_secs(1),
        fetch(addr, "GET", request.as_bytes()),
    )
    .await;
    let Ok(FleetAnswer::Response(response)) = answer else {
        return Vec::new();
    };
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    addresses
        .iter()
        .filter_map(|a| a.as_str()?.parse().ok())
        .collect()
}
