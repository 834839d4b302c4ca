//! Decodes the response to one request from the bytes of a connection.

use crate::{BodyDecoder, Framing, Headers, MessageError, request::MAX_HEADERS};

/// Largest response head, in bytes; the usual limit of HTTP clients.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// A whole response.
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
    /// Whether the connection may be used again.
    pub keep_alive: bool,
}

/// Decodes one response; informational ones before it are skipped.
#[derive(Debug)]
pub struct ResponseDecoder {
    to_head: bool,
    max_body: u64,
    pending: Option<(Response, BodyDecoder)>,
}

impl ResponseDecoder {
    /// A decoder of the response to a request. Responses to `HEAD` have no body.
    #[must_use]
    pub fn new(method: &str, max_body: u64) -> Self {
        Self {
            to_head: method == "HEAD",
            max_body,
            pending: None,
        }
    }

    /// Whether a response head has arrived.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }

    /// Takes bytes off the front of `input`; the response once it is whole.
    ///
    /// # Errors
    ///
    /// If the bytes are no response or too large.
    pub fn feed(&mut self, input: &mut Vec<u8>) -> Result<Option<Response>, MessageError> {
        while self.pending.is_none() {
            let Some((response, framing)) = decode_head(input, self.to_head)? else {
                return Ok(None);
            };
            if response.status >= 200 {
                self.pending = Some((response, BodyDecoder::new(framing, self.max_body)?));
            }
        }
        let Some((mut response, mut body)) = self.pending.take() else {
            return Ok(None);
        };
        if body.feed(input)? {
            response.body = body.into_body();
            return Ok(Some(response));
        }
        self.pending = Some((response, body));
        Ok(None)
    }

    /// The response, if the end of the connection completes it.
    ///
    /// # Errors
    ///
    /// If it does not.
    pub fn finish(self) -> Result<Response, MessageError> {
        match self.pending {
            Some((mut response, body)) if body.ends_with_connection() => {
                response.body = body.into_body();
                response.keep_alive = false;
                Ok(response)
            }
            _ => Err(MessageError::Truncated),
        }
    }
}

fn decode_head(
    input: &mut Vec<u8>,
    to_head: bool,
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
    let headers = Headers::from_parsed(head.headers);
    let status = head.code.unwrap_or_default();
    let framing = if to_head || matches!(status, 100..=199 | 204 | 304) {
        Framing::Length(0)
    } else {
        Framing::from_headers(&headers)?.unwrap_or(Framing::UntilClose)
    };
    let reusable = head.version == Some(1)
        && framing != Framing::UntilClose
        && !headers.has_token("connection", "close");
    let response = Response {
        status,
        reason: head.reason.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
        keep_alive: reusable,
    };
    input.drain(..len);
    Ok(Some((response, framing)))
}

#[cfg(test)]
mod tests;
