//! HTTP/1.1 messages, without I/O: incremental decoders of requests and responses. Header names,
//! header values and the request target are kept as they were sent. Bodies are buffered completely,
//! up to a limit.

mod body;
mod body_bytes;
mod error;
mod head_scan;
mod headers;
mod request;
mod response;

pub use crate::{
    body::{BodyDecoder, Framing},
    body_bytes::BodyBytes,
    error::MessageError,
    headers::{Headers, write_headers},
    request::{Decoded, Request, RequestDecoder, RequestLimits},
    response::{Response, ResponseDecoder},
};
