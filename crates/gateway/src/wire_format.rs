//! Layout of the messages between instances, of which two releases may run side by side.
//!
//! A message has its fields in a fixed order, which never changes, and then sections that later releases have
//! added: a number (1 to 255), a length (two bytes, big-endian) and as many bytes. A reader skips the sections that it
//! does not know; a section that is missing has a default. Thus a new field is a new section, and format bytes stay.

use bincode::{config::standard, serde::decode_from_slice};
use serde::de::DeserializeOwned;

/// Decodes a message and skips its sections. Returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (message, used) = decode_from_slice::<T, _>(bytes, standard()).ok()?;
    are_sections(&bytes[used..]).then_some(message)
}

/// Whether `bytes` are whole sections.
fn are_sections(mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        let [1..=u8::MAX, high, low, rest @ ..] = bytes else {
            return false;
        };
        let length = u16::from_be_bytes([*high, *low]);
        let Some((_, next)) = rest.split_at_checked(length.into()) else {
            return false;
        };
        bytes = next;
    }
    true
}

#[cfg(test)]
mod messages;
#[cfg(test)]
mod tests;
