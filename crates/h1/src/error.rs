//! Errors of the decoders.

use thiserror::Error;

/// Reason why bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The start line or a header line is malformed.
    #[error("malformed message head")]
    Head,
    /// The status is not one of HTTP, which are 100 to 599.
    #[error("status out of range")]
    Status,
    /// The start line and header lines are larger or more than allowed.
    #[error("message head too large")]
    HeadTooLarge,
    /// `Content-Length` or `Transfer-Encoding` headers are malformed, contradict each other or name
    /// an unsupported coding.
    #[error("malformed, contradictory or unsupported Content-Length or Transfer-Encoding")]
    Length,
    /// The chunked coding of the body is malformed.
    #[error("malformed chunked body")]
    Chunk,
    /// The body is larger than allowed.
    #[error("message body too large")]
    BodyTooLarge,
    /// Too many responses came before the final one to the request.
    #[error("too many responses before the final one")]
    TooManyResponses,
    /// The connection ended before the end of the message.
    #[error("connection ended before the end of the message")]
    Truncated,
}
