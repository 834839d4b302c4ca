//! Decodes requests, one after the other, from the bytes of a connection.

use crate::{BodyDecoder, Framing, Headers, MessageError};

/// Most header lines of a message.
pub(crate) const MAX_HEADERS: usize = 100;

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Request target as it was sent.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection may be used again after the response.
    pub keep_alive: bool,
}

impl Request {
    /// The path, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a key of the query, as it was sent.
    #[must_use]
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }
}

/// Limits on requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
}

/// What the bytes so far amount to.
#[derive(Clone, Debug)]
pub enum Decoded {
    /// No byte of a request.
    Empty,
    /// Part of a request.
    Partial,
    /// The caller waits for leave to send its body.
    ExpectsContinue,
    /// A request.
    Complete(Box<Request>),
}

/// Decodes the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    pending: Option<(Request, BodyDecoder)>,
}

impl RequestDecoder {
    /// Takes the next request off the front of `input`.
    ///
    /// # Errors
    ///
    /// If the bytes are no acceptable request; the connection cannot be used further.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
        limits: RequestLimits,
    ) -> Result<Decoded, MessageError> {
        let mut asks = false;
        if self.pending.is_none() {
            let Some((request, framing)) = decode_head(input, limits.head_bytes)? else {
                return Ok(if input.is_empty() {
                    Decoded::Empty
                } else {
                    Decoded::Partial
                });
            };
            asks = framing != Framing::Length(0)
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
        Ok(if asks {
            Decoded::ExpectsContinue
        } else {
            Decoded::Partial
        })
    }

    /// Whether a request head was read and its body has not arrived yet.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }
}

fn decode_head(
    input: &mut Vec<u8>,
    max: usize,
) -> Result<Option<(Request, Framing)>, MessageError> {
    // Empty lines before a request are ignored, as RFC 9112 asks.
    let blank = input
        .iter()
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count();
    input.drain(..blank);
    if input.is_empty() {
        return Ok(None);
    }
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut lines);
    let status = match head.parse(input) {
        Ok(status) => status,
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Head),
    };
    let httparse::Status::Complete(len) = status else {
        return if input.len() > max {
            Err(MessageError::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    if len > max {
        return Err(MessageError::HeadTooLarge);
    }
    let headers = Headers::from_parsed(head.headers);
    let framing = Framing::from_headers(&headers)?.unwrap_or(Framing::Length(0));
    let reusable = if head.version == Some(0) {
        headers.has_token("connection", "keep-alive")
    } else {
        !headers.has_token("connection", "close")
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
        keep_alive: reusable,
    };
    input.drain(..len);
    Ok(Some((request, framing)))
}

#[cfg(test)]
mod tests;
