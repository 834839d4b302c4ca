//! The open connections of each listener. When the share of a listener is full, the connection that has
//! waited longest without a complete request is closed for a new one.

use std::collections::HashMap;

use model::Time;

use super::{Listener, ResourceLimits};

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    listener: Listener,
    /// Time since which no complete request has arrived; `None` while one is in progress.
    waiting_since: Option<Time>,
}

/// Open connections by id.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ResourceLimits,
    open: HashMap<u64, OpenConnection>,
    counts: HashMap<Listener, usize>,
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(limits: ResourceLimits) -> Self {
        Self {
            limits,
            open: HashMap::new(),
            counts: HashMap::new(),
        }
    }

    /// Returns the number of open connections at a listener.
    #[must_use]
    pub fn count(&self, listener: Listener) -> usize {
        self.counts.get(&listener).copied().unwrap_or_default()
    }

    /// Returns whether a listener may have another connection.
    #[must_use]
    pub fn has_room(&self, listener: Listener) -> bool {
        self.count(listener) < self.limits.connections(listener)
    }

    /// Adds a connection that has sent nothing yet.
    pub fn open(&mut self, listener: Listener, id: u64, now: Time) {
        let connection = OpenConnection {
            listener,
            waiting_since: Some(now),
        };
        if self.open.insert(id, connection).is_none() {
            *self.counts.entry(listener).or_default() += 1;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        if let Some(connection) = self.open.remove(&id)
            && let Some(count) = self.counts.get_mut(&connection.listener)
        {
            *count -= 1;
        }
    }

    /// Sets since when no complete request has arrived, or `None` while one is in progress.
    pub fn set_waiting(&mut self, id: u64, waiting_since: Option<Time>) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.waiting_since = waiting_since;
        }
    }

    /// Returns the connection of a listener that has waited longest without a complete request.
    #[must_use]
    pub fn longest_waiting(&self, listener: Listener) -> Option<u64> {
        self.open
            .iter()
            .filter(|(_, connection)| connection.listener == listener)
            .filter_map(|(id, connection)| Some((connection.waiting_since?, *id)))
            .min()
            .map(|(_, id)| id)
    }
}

#[cfg(test)]
mod tests;
