//! Memory that a part of a connection takes until it is dropped.

use std::{cell::Cell, rc::Rc};

use model::Time;

use super::Resources;

/// Memory that the input, a request or a response of a connection takes.
#[derive(Debug)]
pub struct HeldBytes {
    resources: Rc<Resources>,
    id: u64,
    bytes: Cell<u64>,
}

impl HeldBytes {
    /// Returns an empty share of the connection `id`.
    pub fn new(resources: Rc<Resources>, id: u64) -> Self {
        Self {
            resources,
            id,
            bytes: Cell::new(0),
        }
    }

    /// Takes `bytes` more. Returns whether there was enough memory.
    pub fn grow(&self, bytes: u64, now: Time) -> bool {
        let is_granted = self.resources.charge(self.id, bytes, now);
        if is_granted {
            self.bytes.set(self.bytes.get() + bytes);
        }
        is_granted
    }

    /// Gives back up to `bytes`.
    pub fn shrink(&self, bytes: u64) {
        let released = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - released);
        self.resources.release(self.id, released);
    }

    /// Changes the share to `bytes`. Returns whether there was enough memory.
    pub fn set(&self, bytes: u64, now: Time) -> bool {
        let held = self.bytes.get();
        if bytes > held {
            return self.grow(bytes - held, now);
        }
        self.shrink(held - bytes);
        true
    }

    /// Returns another, empty share of the same connection.
    pub fn another(&self) -> Self {
        Self::new(Rc::clone(&self.resources), self.id)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resources.release(self.id, self.bytes.get());
    }
}
