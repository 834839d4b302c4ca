//! Encodes and decodes frames: a little-endian length of four bytes, followed by the message.

use bytes::{Buf, BufMut, BytesMut};
use model::Code;
use wire::{MAX_FRAME_BYTES, PeerMsg, WireError};

const LENGTH_BYTES: usize = 4;

/// Appends a message to `out` as a frame.
///
/// # Errors
///
/// Returns an error if the message is larger than the largest frame.
pub fn write_frame(msg: &PeerMsg, out: &mut BytesMut) -> Result<(), WireError> {
    let body = msg.encode()?;
    let length = u32::try_from(body.len()).map_err(|e| WireError {
        code: Code::BadFrame,
        detail: e.to_string(),
    })?;
    out.put_u32_le(length);
    out.put_slice(&body);
    Ok(())
}

/// Splits received bytes into messages.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if a frame is too large or malformed. The stream cannot be used after that.
    pub fn next(&mut self) -> Result<Option<PeerMsg>, WireError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            let detail = format!("frame of {length} bytes, at most {MAX_FRAME_BYTES}");
            return Err(WireError {
                code: Code::BadFrame,
                detail,
            });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        PeerMsg::decode(&body).map(Some)
    }
}

#[cfg(test)]
mod tests;
