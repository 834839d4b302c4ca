//! The memory that connections take for requests and responses. When it runs low, connections whose
//! callers have stopped, or are slowest while they hold most, are closed first.

use std::{cmp::Reverse, collections::HashMap};

use model::Time;

/// Bytes up to which a connection may use all of the memory. Larger ones leave a tenth, so that ordinary
/// requests are still served.
const SMALL_BYTES: u64 = 64 * 1_024;
/// Time without progress after which a caller counts as stopped, in microseconds. Retransmissions on a
/// lossy link take up to 0.4 s.
const STOPPED_US: u64 = 500_000;

/// What one connection takes.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    /// Time since which the instance has waited for the caller to send a request or to read a response;
    /// `None` while a request is in progress.
    waiting_since: Option<Time>,
    /// Time of the first bytes of the latest request.
    request_begun: Time,
    /// Time of the latest bytes from or to the caller.
    progressed: Time,
    /// Whether the connection was closed for others. It gets no memory.
    is_closed: bool,
}

impl Holder {
    /// Returns the bytes that the caller has sent or read in a second.
    fn rate(&self, now: Time) -> u64 {
        // A caller that was idle before it began a request is not slow.
        let since = self.waiting_since.unwrap_or(now).max(self.request_begun);
        self.bytes.saturating_mul(1_000_000) / now.since_us(since).max(1)
    }
}

/// Result of asking for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The connection has the memory, after these others were closed.
    Granted(Vec<u64>),
    /// There is no memory for the connection.
    Refused,
}

/// Memory by the id of the connection that takes it.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: u64,
    used: u64,
    holders: HashMap<u64, Holder>,
}

impl MemoryAccount {
    /// Creates an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: 0,
            holders: HashMap::new(),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds a connection.
    pub fn open(&mut self, id: u64, now: Time) {
        let holder = Holder {
            bytes: 0,
            waiting_since: Some(now),
            request_begun: now,
            progressed: now,
            is_closed: false,
        };
        self.holders.insert(id, holder);
    }

    /// Removes a connection with all that it takes.
    pub fn close(&mut self, id: u64) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Sets since when the instance has waited for the caller, or `None` while a request is in progress.
    pub fn set_waiting(&mut self, id: u64, waiting_since: Option<Time>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting_since = waiting_since;
        }
    }

    /// Records that the caller sends the first bytes of a request.
    pub fn begin_request(&mut self, id: u64, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.request_begun = now;
        }
    }

    /// Records that the caller has sent or read something.
    pub fn record_progress(&mut self, id: u64, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed = now;
        }
    }

    /// Takes `bytes` for a connection. Closes others for it if there is too little left.
    pub fn charge(&mut self, id: u64, bytes: u64, now: Time) -> Charge {
        let Some(holder) = self.holders.get(&id).filter(|h| !h.is_closed) else {
            return Charge::Refused;
        };
        let own = Holder {
            bytes: holder.bytes + bytes,
            ..*holder
        };
        let allowed = if own.bytes <= SMALL_BYTES {
            self.limit
        } else {
            self.limit / 10 * 9
        };
        let missing = (self.used + bytes).saturating_sub(allowed);
        let Some(closed) = self.closed_for(id, &own, missing, now) else {
            return Charge::Refused;
        };
        for other in &closed {
            self.close_for_others(*other);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used += bytes;
        }
        Charge::Granted(closed)
    }

    /// Gives back `bytes` of a connection.
    pub fn release(&mut self, id: u64, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id).filter(|h| !h.is_closed) {
            let released = bytes.min(holder.bytes);
            holder.bytes -= released;
            self.used -= released;
        }
    }

    fn close_for_others(&mut self, id: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_closed = true;
            self.used -= holder.bytes;
            holder.bytes = 0;
        }
    }

    /// Returns the connections to close so that `missing` bytes become free for `own`, or `None` if those
    /// that may be closed for it hold less. One that holds less than half as much is not closed for it.
    fn closed_for(&self, id: u64, own: &Holder, missing: u64, now: Time) -> Option<Vec<u64>> {
        if missing == 0 {
            return Some(Vec::new());
        }
        let own_rate = own.rate(now);
        let mut candidates: Vec<(bool, u64, u64)> = self
            .holders
            .iter()
            .filter(|(other, h)| **other != id && h.waiting_since.is_some() && h.bytes > 0)
            .filter(|(_, h)| h.bytes.saturating_mul(2) >= own.bytes)
            .map(|(other, h)| (now.since_us(h.progressed) >= STOPPED_US, h, *other))
            // Of two that make progress, the faster one continues.
            .filter(|(is_stopped, h, _)| *is_stopped || h.rate(now) < own_rate / 2)
            .map(|(is_stopped, h, other)| (is_stopped, h.bytes, other))
            .collect();
        candidates.sort_by_key(|(is_stopped, bytes, other)| Reverse((*is_stopped, *bytes, *other)));
        let mut left = missing;
        let mut closed = Vec::new();
        for (_, bytes, other) in candidates {
            closed.push(other);
            left = left.saturating_sub(bytes);
            if left == 0 {
                return Some(closed);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
