//! Why bytes are not an acceptable message.

use thiserror::Error;

/// A message that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head is malformed.
    #[error("malformed message head")]
    Head,
    /// The head is larger than allowed.
    #[error("message head too large")]
    HeadTooLarge,
    /// Length headers are malformed, contradict each other or name an unknown coding.
    #[error("ambiguous or unknown message length")]
    Length,
    /// The chunked coding is malformed.
    #[error("malformed chunked body")]
    Chunk,
    /// The body is larger than allowed.
    #[error("message body too large")]
    BodyTooLarge,
    /// The connection ended inside the message.
    #[error("connection ended inside the message")]
    Truncated,
}
