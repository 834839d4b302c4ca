//! Memory that a response takes while a target sends it.

use std::rc::Rc;

use model::Time;

use crate::resources::HeldBytes;

/// Memory that a response in progress takes. It is given back if the response is not used, and stays with
/// the request otherwise, until the caller has the response.
#[derive(Debug)]
pub struct ResponseBytes {
    held: Rc<HeldBytes>,
    own: u64,
}

impl ResponseBytes {
    /// Begins a response to the request whose memory is `held`.
    pub fn begin(held: &Rc<HeldBytes>) -> Self {
        Self {
            held: Rc::clone(held),
            own: 0,
        }
    }

    /// Takes `bytes` more. Returns whether there was enough memory.
    pub fn take(&mut self, bytes: u64, now: Time) -> bool {
        let is_granted = self.held.grow(bytes, now);
        if is_granted {
            self.own += bytes;
        }
        is_granted
    }

    /// Leaves the memory to the request.
    pub fn keep(mut self) {
        self.own = 0;
    }
}

impl Drop for ResponseBytes {
    fn drop(&mut self) {
        self.held.shrink(self.own);
    }
}
