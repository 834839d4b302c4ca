//! Decodes message bodies: with a length, chunked, or up to the end of the connection.

use crate::{Headers, MessageError};

/// Longest chunk-size or trailer line, in bytes. Sizes take up to 16 digits; the rest allows extensions.
const MAX_LINE_BYTES: usize = 1_024;
/// Most bytes of trailers, which are dropped.
const MAX_TRAILER_BYTES: usize = 16 * 1_024;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// What the headers say; `None` if they name no length.
    ///
    /// # Errors
    ///
    /// If lengths are malformed or contradict each other, which is how requests are smuggled.
    pub fn from_headers(headers: &Headers) -> Result<Option<Self>, MessageError> {
        let mut length = None;
        for value in headers.values("content-length") {
            let number = parse_length(value)?;
            if length.is_some_and(|known| known != number) {
                return Err(MessageError::Length);
            }
            length = Some(number);
        }
        let mut codings = headers.values("transfer-encoding");
        let Some(coding) = codings.next() else {
            return Ok(length.map(Self::Length));
        };
        let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !is_chunked || codings.next().is_some() || length.is_some() {
            return Err(MessageError::Length);
        }
        Ok(Some(Self::Chunked))
    }
}

fn parse_length(value: &[u8]) -> Result<u64, MessageError> {
    let text = str::from_utf8(value).map_err(|_| MessageError::Length)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::Length);
    }
    text.parse().map_err(|_| MessageError::Length)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Collects one body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    chunk: Chunk,
    max: u64,
    trailer: usize,
    body: Vec<u8>,
}

impl BodyDecoder {
    /// A decoder of a body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// If the announced length is larger.
    pub fn new(framing: Framing, max: u64) -> Result<Self, MessageError> {
        if matches!(framing, Framing::Length(len) if len > max) {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(Self {
            framing,
            chunk: Chunk::Size,
            max,
            trailer: 0,
            body: Vec::new(),
        })
    }

    /// Takes bytes off the front of `input`; whether the body is whole.
    ///
    /// # Errors
    ///
    /// If the bytes break the coding or exceed the limit.
    pub fn feed(&mut self, input: &mut Vec<u8>) -> Result<bool, MessageError> {
        match self.framing {
            Framing::Length(len) => {
                let left = len - self.body.len() as u64;
                self.take(input, left)?;
                Ok(self.body.len() as u64 == len)
            }
            Framing::UntilClose => {
                self.take(input, u64::MAX)?;
                Ok(false)
            }
            Framing::Chunked => self.feed_chunks(input),
        }
    }

    /// The body, once it is whole.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Whether the end of the connection ends this body properly.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    fn take(&mut self, input: &mut Vec<u8>, most: u64) -> Result<u64, MessageError> {
        let count = usize::try_from(most).map_or(input.len(), |most| input.len().min(most));
        if (self.body.len() + count) as u64 > self.max {
            return Err(MessageError::BodyTooLarge);
        }
        self.body.extend_from_slice(&input[..count]);
        input.drain(..count);
        Ok(count as u64)
    }

    fn feed_chunks(&mut self, input: &mut Vec<u8>) -> Result<bool, MessageError> {
        loop {
            match self.chunk {
                Chunk::Data(left) => {
                    let taken = self.take(input, left)?;
                    if taken < left {
                        self.chunk = Chunk::Data(left - taken);
                        return Ok(false);
                    }
                    self.chunk = Chunk::DataEnd;
                }
                Chunk::Size => {
                    let Some(line) = take_line(input)? else {
                        return Ok(false);
                    };
                    self.chunk = match parse_size(&line)? {
                        0 => Chunk::Trailer,
                        size => Chunk::Data(size),
                    };
                }
                Chunk::DataEnd => {
                    let Some(line) = take_line(input)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(MessageError::Chunk);
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(line) = take_line(input)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    self.trailer += line.len();
                    if self.trailer > MAX_TRAILER_BYTES {
                        return Err(MessageError::Chunk);
                    }
                }
            }
        }
    }
}

/// Takes a line ended by CR LF off the front, without its end.
fn take_line(input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, MessageError> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return if input.len() > MAX_LINE_BYTES {
            Err(MessageError::Chunk)
        } else {
            Ok(None)
        };
    };
    if end == 0 || input[end - 1] != b'\r' || end > MAX_LINE_BYTES {
        return Err(MessageError::Chunk);
    }
    let line = input[..end - 1].to_vec();
    input.drain(..=end);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = str::from_utf8(digits).map_err(|_| MessageError::Chunk)?;
    let text = text.trim_end_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(MessageError::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| MessageError::Chunk)
}

#[cfg(test)]
mod tests;
