//! Minimal blocking HTTP/1.1 messages for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

/// Bytes a second of one of three messages that share a link of 1,000 Mbit/s.
pub const LINK_SHARE: f64 = 125_000_000.0 / 3.0;
/// Length from which a body is read at that rate.
const LONG_BODY: usize = 16 * 1024 * 1024;

/// Keeps a transfer to a rate.
pub struct Pace {
    start: Instant,
    rate: f64,
    bytes: usize,
}

impl Pace {
    pub fn new(rate: f64) -> Self {
        Self {
            start: Instant::now(),
            rate,
            bytes: 0,
        }
    }

    /// Waits until `count` more bytes may have been transferred.
    pub fn wait(&mut self, count: usize) {
        self.bytes += count;
        let due = Duration::from_secs_f64(self.bytes as f64 / self.rate);
        thread::sleep(due.saturating_sub(self.start.elapsed()));
    }
}

/// One message: its start line, header lines and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Parses a head, which does not include the empty line.
    pub fn from_head(bytes: &[u8]) -> Self {
        let head = String::from_utf8_lossy(bytes);
        let mut lines = head.split("\r\n");
        let mut message = Self {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Self::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let line = (name.to_owned(), value.trim().to_owned());
                message.headers.push(line);
            }
        }
        message
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request: path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query of a request.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, v)| v)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Returns the id of the request that the message is or answers.
    pub fn id(&self) -> &str {
        self.header("x-hibiscusway-request-id").unwrap_or_default()
    }
}

/// Reads one message; `input` holds bytes that were read beyond the one before. Returns `None` at
/// the end of the connection before a message.
pub fn read_message(mut stream: &TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 64 * 1024];
    let head_end = loop {
        if let Some(at) = find(input, b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            let error = io::Error::from(io::ErrorKind::UnexpectedEof);
            return if input.is_empty() {
                Ok(None)
            } else {
                Err(error)
            };
        }
        input.extend_from_slice(&chunk[..count]);
    };
    let mut message = Message::from_head(&input[..head_end]);
    input.drain(..head_end + 4);
    let length = message.header("content-length").map(str::parse::<usize>);
    match length {
        Some(Ok(length)) => {
            let mut pace = (length >= LONG_BODY).then(|| Pace::new(LINK_SHARE));
            while input.len() < length {
                let count = stream.read(&mut chunk)?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                if let Some(pace) = &mut pace {
                    pace.wait(count);
                }
                input.extend_from_slice(&chunk[..count]);
            }
            message.body = input.drain(..length).collect();
        }
        _ if message.start.starts_with("HTTP/") => loop {
            // A response without a length ends with its connection.
            message.body.append(input);
            let count = stream.read(&mut chunk)?;
            if count == 0 {
                break;
            }
            input.extend_from_slice(&chunk[..count]);
        },
        _ => {}
    }
    Ok(Some(message))
}

/// Returns where `what` begins in `bytes`.
pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Writes a response with a length. `head` holds further header lines, each with its line end.
pub fn respond(mut stream: &TcpStream, status: u16, head: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} Status\r\n{head}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the response to a `HEAD` request, which states a length but has no body.
pub fn respond_head(
    mut stream: &TcpStream,
    status: u16,
    head: &str,
    length: usize,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} Status\r\n{head}Content-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes())
}

/// Writes the text of a request.
pub fn send_text(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())
}
