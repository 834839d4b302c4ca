//! Frames in a byte stream: a little-endian length of four bytes, then the body.

use bytes::{Buf, BufMut, BytesMut};
use model::Code;
use wire::{MAX_FRAME_BYTES, PeerMsg, WireError};

const LENGTH_BYTES: usize = 4;

/// Appends a message as a frame.
///
/// # Errors
///
/// If the message is larger than a frame may be.
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

    /// The next whole message, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// If a frame is too large or malformed. The stream cannot be used any further.
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
