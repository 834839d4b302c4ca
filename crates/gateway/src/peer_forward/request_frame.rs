//! What one instance tells another of a request that it forwards through it.

/// First byte of a frame. No HTTP request begins with it.
pub const FIRST_BYTE: u8 = 1;
/// Size of an encoded frame, in bytes.
const FRAME_BYTES: usize = 17;

/// What one instance tells another of a request, encoded before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestFrame {
    /// Attempts that were made so far.
    pub attempts: u32,
    /// Time since the request arrived, in milliseconds.
    pub waited_ms: u32,
    /// Version of the configuration that the sender has in force.
    pub config_version: u64,
}

/// The input does not begin with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameError;

impl RequestFrame {
    /// Returns the encoded frame.
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FRAME_BYTES);
        bytes.push(FIRST_BYTE);
        bytes.extend_from_slice(&self.attempts.to_be_bytes());
        bytes.extend_from_slice(&self.waited_ms.to_be_bytes());
        bytes.extend_from_slice(&self.config_version.to_be_bytes());
        bytes
    }

    /// Removes a frame from the start of `input`. Returns `None` if it has not arrived completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is something else.
    pub fn take(input: &mut Vec<u8>) -> Result<Option<Self>, FrameError> {
        if input.first().is_some_and(|first| *first != FIRST_BYTE) {
            return Err(FrameError);
        }
        let Some((attempts, rest)) = input.get(1..).and_then(<[u8]>::split_first_chunk) else {
            return Ok(None);
        };
        let Some((waited_ms, rest)) = rest.split_first_chunk() else {
            return Ok(None);
        };
        let Some((config_version, _)) = rest.split_first_chunk() else {
            return Ok(None);
        };
        let frame = Self {
            attempts: u32::from_be_bytes(*attempts),
            waited_ms: u32::from_be_bytes(*waited_ms),
            config_version: u64::from_be_bytes(*config_version),
        };
        input.drain(..FRAME_BYTES);
        Ok(Some(frame))
    }
}
