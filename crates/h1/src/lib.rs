//! HTTP/1.1 messages as bytes, without I/O: incremental decoders of requests and responses that keep
//! names, values and the request target as they were sent. Bodies are held whole, up to a limit.

mod body;
mod error;
mod headers;
mod request;
mod response;

pub use crate::{
    body::{BodyDecoder, Framing},
    error::MessageError,
    headers::{Headers, write_headers},
    request::{Decoded, Request, RequestDecoder, RequestLimits},
    response::{Response, ResponseDecoder},
};
