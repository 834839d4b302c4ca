//! Limits the memory for responses that targets are sending, over all requests of the instance.

use std::{cell::Cell, rc::Rc};

use h1::MessageError;

/// Memory for all responses in progress, in bytes.
const MAX_TOTAL: u64 = 32 * 1_024 * 1_024;

/// Bytes of all responses in progress.
#[derive(Clone, Debug, Default)]
pub struct ResponseBuffers {
    used: Rc<Cell<u64>>,
}

impl ResponseBuffers {
    /// Returns the share of a response that begins.
    pub fn begin(&self) -> BufferShare {
        BufferShare {
            used: Rc::clone(&self.used),
            own: 0,
        }
    }
}

/// Bytes that one response takes until dropped.
#[derive(Debug)]
pub struct BufferShare {
    used: Rc<Cell<u64>>,
    own: u64,
}

impl BufferShare {
    /// Takes more bytes. A response may have half of what the others leave, so that targets that
    /// send without end leave memory for those that do not.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::BodyTooLarge`] if the response is too large.
    pub fn take(&mut self, bytes: u64) -> Result<(), MessageError> {
        let others = self.used.get() - self.own;
        if self.own + bytes > MAX_TOTAL.saturating_sub(others) / 2 {
            return Err(MessageError::BodyTooLarge);
        }
        self.own += bytes;
        self.used.set(others + self.own);
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.own);
    }
}

#[cfg(test)]
mod tests;
