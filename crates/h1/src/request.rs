//! Decoder of the requests that arrive one after the other on a connection.

use crate::{BodyBytes, BodyDecoder, Framing, Headers, MessageError, head_scan::HeadScan};

/// Number of header lines for which the parser needs no memory of its own. Requests may have more, up to
/// the limit on their bytes.
const USUAL_HEADERS: usize = 100;

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Request target as it was sent.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: BodyBytes,
    /// Whether the caller may send another request on the connection after the response.
    pub keep_alive: bool,
}

impl Request {
    /// Returns the memory that the request takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.target.len() + self.headers.memory_bytes() + self.body.len()
    }

    /// Returns the path of the request target, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of `key` in the query, as it was sent (not percent-decoded).
    #[must_use]
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }
}

/// Limits on the size of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Largest head (request line and header lines), in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
}

/// Result of decoding the bytes that have arrived so far.
#[derive(Clone, Debug)]
pub enum Decoded {
    /// No byte of the next request has arrived.
    Empty,
    /// A part of the next request has arrived.
    Partial,
    /// The head has arrived, and the caller waits for a `100 Continue` before it sends the body.
    ExpectsContinue,
    /// A request has arrived completely.
    Complete(Box<Request>),
}

/// Decodes the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    scan: HeadScan,
    pending: Option<(Request, BodyDecoder)>,
}

impl RequestDecoder {
    /// Decodes bytes at the front of `input` and removes them. Returns the next request once it is
    /// complete. [`Decoded::ExpectsContinue`] is returned at most once for a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an acceptable request. The connection must then be
    /// closed.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
        limits: RequestLimits,
    ) -> Result<Decoded, MessageError> {
        let mut expects_continue = false;
        if self.pending.is_none() {
            let Some((request, framing)) = self.decode_head(input, limits.head_bytes)? else {
                return Ok(if input.is_empty() {
                    Decoded::Empty
                } else {
                    Decoded::Partial
                });
            };
            expects_continue = framing != Framing::Length(0)
                && request.headers.has_token("expect", "100-continue");
            self.pending = Some((request, BodyDecoder::new(framing, limits.body_bytes)?));
        }
        let Some((mut request, mut body)) = self.pending.take() else {
            return Ok(Decoded::Empty);
        };
        if body.feed(input)? {
            request.body = body.into_body();
            return Ok(Decoded::Complete(Box::new(request)));
        }
        self.pending = Some((request, body));
        Ok(if expects_continue {
            Decoded::ExpectsContinue
        } else {
            Decoded::Partial
        })
    }

    /// Returns whether the head of a request has arrived, but not its whole body.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the request whose head has arrived, but not its whole body. Its body is empty.
    #[must_use]
    pub fn head(&self) -> Option<&Request> {
        self.pending.as_ref().map(|(request, _)| request)
    }

    /// Drops the body of the request whose head has arrived, also what is still to come of it. The
    /// request is complete at the end of its body as usual, but has none.
    pub fn discard_body(&mut self) {
        if let Some((_, body)) = &mut self.pending {
            body.discard();
        }
    }

    /// Returns the memory that the request takes whose body has not fully arrived, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let held =
            |(request, body): &(Request, BodyDecoder)| request.memory_bytes() + body.held_bytes();
        self.pending.as_ref().map_or(0, held)
    }

    fn decode_head(
        &mut self,
        input: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Option<(Request, Framing)>, MessageError> {
        drop_blank_lines(input);
        if input.is_empty() {
            return Ok(None);
        }
        let head = if self.scan.is_due(input) {
            parse_head(input, max_bytes)?
        } else {
            None
        };
        let Some((request, framing, len)) = head else {
            return if input.len() > max_bytes {
                Err(MessageError::HeadTooLarge)
            } else {
                Ok(None)
            };
        };
        self.scan = HeadScan::default();
        input.drain(..len);
        Ok(Some((request, framing)))
    }
}

/// Empty lines before a request line are ignored, as RFC 9112 recommends (section 2.2).
fn drop_blank_lines(input: &mut Vec<u8>) {
    let blank_bytes = input
        .iter()
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count();
    input.drain(..blank_bytes);
}

/// Parses a head at the front of `input`. Also returns its length, or `None` if it is incomplete.
fn parse_head(
    input: &[u8],
    max_bytes: usize,
) -> Result<Option<(Request, Framing, usize)>, MessageError> {
    let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADERS];
    let result = parse_lines(input, max_bytes, &mut usual);
    if !matches!(result, Err(MessageError::HeadTooLarge)) {
        return result;
    }
    // Lines are counted only for large heads: behind a small one there may be many pipelined requests.
    let considered = &input[..input.len().min(max_bytes)];
    let line_count = considered.split(|b| *b == b'\n').count();
    let mut lines = vec![httparse::EMPTY_HEADER; line_count];
    parse_lines(input, max_bytes, &mut lines)
}

fn parse_lines<'a>(
    input: &'a [u8],
    max_bytes: usize,
    lines: &mut [httparse::Header<'a>],
) -> Result<Option<(Request, Framing, usize)>, MessageError> {
    let mut head = httparse::Request::new(lines);
    let status = match head.parse(input) {
        Ok(status) => status,
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Head),
    };
    let httparse::Status::Complete(len) = status else {
        return Ok(None);
    };
    if len > max_bytes {
        return Err(MessageError::HeadTooLarge);
    }
    let headers = Headers::from_parsed(head.headers);
    let framing = Framing::from_headers(&headers)?.unwrap_or(Framing::Length(0));
    let keep_alive = if head.version == Some(0) {
        headers.has_token("connection", "keep-alive")
    } else {
        !headers.has_token("connection", "close")
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        headers,
        body: BodyBytes::default(),
        keep_alive,
    };
    Ok(Some((request, framing, len)))
}

#[cfg(test)]
mod tests;
