//! Decoder of message bodies: of a stated length, in chunked coding, or up to the end of the
//! connection.

use crate::{BodyBytes, Headers, MessageError};

/// Longest chunk-size or trailer line, in bytes. A size has up to 16 digits; the rest is room for
/// chunk extensions.
const MAX_LINE_BYTES: usize = 1_024;
/// Largest size of all trailer lines of a body, in bytes. Trailers are discarded.
const MAX_TRAILER_BYTES: usize = 16 * 1_024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is in chunked coding and ends with its last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the framing that the headers state, or `None` if they state none.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Length`] if the headers are malformed, contradict each other or name
    /// an unsupported coding. Accepting such messages would allow request smuggling.
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

/// The part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// A line with the size of a chunk.
    Size,
    /// Data of a chunk, of which this many bytes are left.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// A trailer line, or the empty line that ends the body.
    Trailer,
}

/// Decodes one body and buffers it.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    chunk_state: ChunkState,
    max_bytes: u64,
    trailer_bytes: usize,
    /// Bytes of the body that have been decoded.
    decoded: u64,
    /// Whether the bytes are checked and counted, but not kept.
    is_discarded: bool,
    body: BodyBytes,
}

impl BodyDecoder {
    /// Creates a decoder of a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::BodyTooLarge`] if the stated length is larger.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<Self, MessageError> {
        if matches!(framing, Framing::Length(len) if len > max_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(Self {
            framing,
            chunk_state: ChunkState::Size,
            max_bytes,
            trailer_bytes: 0,
            decoded: 0,
            is_discarded: false,
            body: BodyBytes::default(),
        })
    }

    /// Moves bytes of the body from the front of `input` into the decoder. Returns whether the body
    /// is complete. A body that ends with the connection is never reported as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunked coding is malformed or the body exceeds the limit.
    pub fn feed(&mut self, input: &mut Vec<u8>) -> Result<bool, MessageError> {
        let mut rest = input.as_slice();
        let is_complete = match self.framing {
            Framing::Length(len) => {
                let left = len - self.decoded;
                self.take(&mut rest, left)?;
                self.decoded == len
            }
            Framing::UntilClose => {
                self.take(&mut rest, u64::MAX)?;
                false
            }
            Framing::Chunked => self.feed_chunks(&mut rest)?,
        };
        // The rest is moved once for each call, not once for each chunk.
        let used = input.len() - rest.len();
        input.drain(..used);
        Ok(is_complete)
    }

    /// Drops the bytes that have been decoded, and those that follow. The framing and the limit are
    /// still checked.
    pub fn discard(&mut self) {
        self.is_discarded = true;
        self.body = BodyBytes::default();
    }

    /// Returns the number of bytes of the body that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the bytes of the body that have been decoded so far.
    #[must_use]
    pub fn into_body(self) -> BodyBytes {
        self.body
    }

    /// Returns whether the body ends when the connection is closed.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Moves up to `limit` bytes from the front of `input` into the body. Returns their number.
    fn take(&mut self, input: &mut &[u8], limit: u64) -> Result<u64, MessageError> {
        let count = usize::try_from(limit).map_or(input.len(), |limit| input.len().min(limit));
        if self.decoded + count as u64 > self.max_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        let (taken, rest) = input.split_at(count);
        if !self.is_discarded {
            self.body.push(taken);
        }
        self.decoded += count as u64;
        *input = rest;
        Ok(count as u64)
    }

    fn feed_chunks(&mut self, input: &mut &[u8]) -> Result<bool, MessageError> {
        loop {
            if let ChunkState::Data(left) = self.chunk_state {
                let taken = self.take(input, left)?;
                if taken < left {
                    self.chunk_state = ChunkState::Data(left - taken);
                    return Ok(false);
                }
                self.chunk_state = ChunkState::DataEnd;
                continue;
            }
            let Some(line) = take_line(input)? else {
                return Ok(false);
            };
            match self.chunk_state {
                ChunkState::Size => {
                    self.chunk_state = match parse_size(line)? {
                        0 => ChunkState::Trailer,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Trailer if line.is_empty() => return Ok(true),
                ChunkState::Trailer => {
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(MessageError::Chunk);
                    }
                }
                _ if line.is_empty() => self.chunk_state = ChunkState::Size,
                _ => return Err(MessageError::Chunk),
            }
        }
    }
}

/// Removes a line from the front of `input` and returns it without its CR LF, or `None` if it has
/// not fully arrived.
fn take_line<'a>(input: &mut &'a [u8]) -> Result<Option<&'a [u8]>, MessageError> {
    let searched = &input[..input.len().min(MAX_LINE_BYTES + 1)];
    let Some(end) = searched.iter().position(|b| *b == b'\n') else {
        return if input.len() > MAX_LINE_BYTES {
            Err(MessageError::Chunk)
        } else {
            Ok(None)
        };
    };
    if end == 0 || input[end - 1] != b'\r' {
        return Err(MessageError::Chunk);
    }
    let line = &input[..end - 1];
    *input = &input[end + 1..];
    Ok(Some(line))
}

/// Parses a chunk-size line. Chunk extensions are ignored.
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
