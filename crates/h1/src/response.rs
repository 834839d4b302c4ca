//! Decoder of the response to one request.

use std::ops::RangeInclusive;

use crate::{BodyDecoder, Framing, Headers, MessageError};

/// Largest response head (status line and header lines), in bytes; a usual limit of HTTP clients.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Largest number of header lines of a response. Targets are under the operator's control.
const MAX_HEADERS: usize = 100;
/// Status codes of HTTP (RFC 9110, section 15). Recipients treat others as invalid responses.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Most informational responses before the final one. Servers send one or two.
const MAX_INTERIM: usize = 16;

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase as it was sent.
    pub reason: String,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

/// Decodes the final response to one request. Informational (1xx) responses before it are skipped.
#[derive(Debug)]
pub struct ResponseDecoder {
    /// Whether the request has the method `HEAD`.
    is_head: bool,
    max_body: u64,
    /// Informational responses that were skipped.
    interim: usize,
    pending: Option<(Response, BodyDecoder)>,
}

impl ResponseDecoder {
    /// Creates a decoder of the response to a request with this method, whose body has at most
    /// `max_body` bytes. Responses to `HEAD` have no body.
    #[must_use]
    pub fn new(method: &str, max_body: u64) -> Self {
        Self {
            is_head: method == "HEAD",
            max_body,
            interim: 0,
            pending: None,
        }
    }

    /// Returns whether the head of the response has arrived, but not its whole body.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }

    /// Decodes bytes at the front of `input` and removes them. Returns the response once it is
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response or the response is too large.
    pub fn feed(&mut self, input: &mut Vec<u8>) -> Result<Option<Response>, MessageError> {
        while self.pending.is_none() {
            let Some((response, framing)) = decode_head(input, self.is_head)? else {
                return Ok(None);
            };
            if response.status >= 200 {
                self.pending = Some((response, BodyDecoder::new(framing, self.max_body)?));
                break;
            }
            self.interim += 1;
            if self.interim > MAX_INTERIM {
                return Err(MessageError::TooManyResponses);
            }
        }
        let Some((mut response, mut body)) = self.pending.take() else {
            return Ok(None);
        };
        if body.feed(input)? {
            response.body = body.into_body().into_vec();
            return Ok(Some(response));
        }
        self.pending = Some((response, body));
        Ok(None)
    }

    /// Returns the response if it is complete because the connection has ended.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Truncated`] if the response does not end with the connection.
    pub fn finish(self) -> Result<Response, MessageError> {
        match self.pending {
            Some((mut response, body)) if body.ends_with_connection() => {
                response.body = body.into_body().into_vec();
                response.keep_alive = false;
                Ok(response)
            }
            _ => Err(MessageError::Truncated),
        }
    }
}

fn decode_head(
    input: &mut Vec<u8>,
    is_head: bool,
) -> Result<Option<(Response, Framing)>, MessageError> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut lines);
    let status = head.parse(input).map_err(|_| MessageError::Head)?;
    let httparse::Status::Complete(len) = status else {
        return if input.len() > MAX_HEAD_BYTES {
            Err(MessageError::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let status = head.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(MessageError::Status);
    }
    let headers = Headers::from_parsed(head.headers);
    let framing = if is_head || matches!(status, 100..=199 | 204 | 304) {
        Framing::Length(0)
    } else {
        Framing::from_headers(&headers)?.unwrap_or(Framing::UntilClose)
    };
    let keep_alive = head.version == Some(1)
        && framing != Framing::UntilClose
        && !headers.has_token("connection", "close");
    let response = Response {
        status,
        reason: head.reason.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
        keep_alive,
    };
    input.drain(..len);
    Ok(Some((response, framing)))
}

#[cfg(test)]
mod tests;
