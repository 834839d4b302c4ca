//! Reads HTTP/1.1 requests from a connection and writes responses.

use std::io;

use async_std::{
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use h1::{Decoded, Request, RequestDecoder, RequestLimits};

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 64 * 1024,
    body_bytes: 64 * 1024 * 1024,
};

/// Reads the next request of a connection. Returns `None` at the end of the connection.
pub async fn next_request(
    mut stream: &TcpStream,
    decoder: &mut RequestDecoder,
    input: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    let mut chunk = vec![0; 16 * 1024];
    loop {
        match decoder.decode(input, LIMITS) {
            Ok(Decoded::Complete(request)) => return Ok(Some(*request)),
            Ok(_) => (),
            Err(error) => return Err(io::Error::other(error)),
        }
        let len = stream.read(&mut chunk).await?;
        if len == 0 {
            return Ok(None);
        }
        input.extend_from_slice(&chunk[..len]);
    }
}

/// Sends a response with a length. `head` holds additional header lines, each with its line end.
pub async fn respond(
    mut stream: &TcpStream,
    status: u16,
    head: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status:03} Status\r\n{head}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}
