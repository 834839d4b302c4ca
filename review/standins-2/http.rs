//! Minimal HTTP/1.1 over blocking sockets, enough for the stand-ins of the review.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Request target with the query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// A connection that keeps the bytes which were read beyond a message.
pub struct Channel {
    pub stream: TcpStream,
    input: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &addr,
            Duration::from_secs(1),
        )?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; 64 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ended());
        }
        self.input.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.input.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < count {
            self.fill()?;
        }
        Ok(self.input.drain(..count).collect())
    }

    /// Reads one message: a head, and a body with a length or in chunks.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16);
                let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
                let chunk = self.bytes(size)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|v| v.parse().ok());
        message.body = self.bytes(length.unwrap_or(0))?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one message until `end`.
    pub fn read_until(&mut self, end: Instant) -> io::Result<Message> {
        let left = end.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        self.read()
    }

    /// Whether the other side has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Encodes a response.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} R\r\n{headers}Content-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the response.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut channel = Channel::connect(addr)?;
    channel.write(request)?;
    channel.read_until(end)
}
