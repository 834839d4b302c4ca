//! The account that all tasks of an instance share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use async_std::channel::{Sender, bounded};
use balance::resources::{Charge, ConnectionTable, Listener, MemoryAccount, ResourceLimits};
use model::Time;
use tracing::info;

use super::Connection;
use crate::line_class::REQUESTS;

/// Memory that an open connection takes without a request, in bytes: its buffer for reads and its task.
const CONNECTION_BYTES: u64 = 16 * 1_024;

/// Signals that end a connection.
#[derive(Debug)]
struct Closer {
    listener: Listener,
    /// Ends the connection at once.
    end: Sender<()>,
    /// Asks the connection to give back its memory, refuse its request and end.
    yield_memory: Sender<()>,
}

/// Why a connection is closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// Its memory is needed.
    Memory,
    /// The share of its listener is full.
    Connections,
}

/// Numbers of refused and closed connections.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    closed_memory: u64,
    closed_connections: u64,
    refused_memory: u64,
    refused_connections: u64,
}

/// Memory and connections of an instance.
#[derive(Debug)]
pub struct Resources {
    memory: RefCell<MemoryAccount>,
    connections: RefCell<ConnectionTable>,
    closers: RefCell<HashMap<u64, Closer>>,
    next_id: Cell<u64>,
    counts: Cell<Counts>,
}

impl Resources {
    /// Creates the account of an instance with these limits.
    pub fn new(limits: ResourceLimits) -> Rc<Self> {
        Rc::new(Self {
            memory: RefCell::new(MemoryAccount::new(limits.memory_bytes)),
            connections: RefCell::new(ConnectionTable::new(limits)),
            closers: RefCell::default(),
            next_id: Cell::new(0),
            counts: Cell::default(),
        })
    }

    /// Whether a listener may have another connection.
    pub fn has_room(&self, listener: Listener) -> bool {
        self.connections.borrow().has_room(listener)
    }

    /// Asks the connection of `listener` to end that has waited longest without a complete request.
    /// Returns `false` if all have requests in progress.
    pub fn close_longest_waiting(&self, listener: Listener) -> bool {
        let longest = self.connections.borrow().longest_waiting(listener);
        let Some(id) = longest else {
            self.count(|c| c.refused_connections += 1);
            info!(target: REQUESTS, event = "connection_refused", listener = ?listener, reason = "connections");
            return false;
        };
        self.close(id, CloseReason::Connections);
        true
    }

    /// Adds a connection of `listener`. Returns `None` if there is no memory for it.
    pub fn open(self: &Rc<Self>, listener: Listener, now: Time) -> Option<Connection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.memory.borrow_mut().open(id, now);
        if !self.charge(id, CONNECTION_BYTES, now) {
            self.memory.borrow_mut().close(id);
            info!(target: REQUESTS, event = "connection_refused", listener = ?listener, reason = "memory");
            return None;
        }
        self.connections.borrow_mut().open(listener, id, now);
        let (end, ended) = bounded(1);
        let (yield_memory, yielded) = bounded(1);
        let closer = Closer {
            listener,
            end,
            yield_memory,
        };
        self.closers.borrow_mut().insert(id, closer);
        Some(Connection::new(Rc::clone(self), id, ended, yielded))
    }

    /// Takes `bytes` for the connection `id`, and closes others for it if necessary. Returns whether there
    /// was enough.
    pub fn charge(&self, id: u64, bytes: u64, now: Time) -> bool {
        let charge = self.memory.borrow_mut().charge(id, bytes, now);
        match charge {
            Charge::Granted(closed) => {
                for other in closed {
                    self.close(other, CloseReason::Memory);
                }
                true
            }
            Charge::Refused => {
                self.count(|c| c.refused_memory += 1);
                false
            }
        }
    }

    /// Gives back `bytes` of the connection `id`.
    pub fn release(&self, id: u64, bytes: u64) {
        self.memory.borrow_mut().release(id, bytes);
    }

    /// Sets since when the instance has waited for the caller, or `None` while a request is in progress.
    pub fn set_waiting(&self, id: u64, since: Option<Time>) {
        self.memory.borrow_mut().set_waiting(id, since);
        self.connections.borrow_mut().set_waiting(id, since);
    }

    /// Records that the caller sends the first bytes of a request.
    pub fn begin_request(&self, id: u64, now: Time) {
        self.memory.borrow_mut().begin_request(id, now);
    }

    /// Records that the caller has sent or read something.
    pub fn record_progress(&self, id: u64, now: Time) {
        self.memory.borrow_mut().record_progress(id, now);
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64) {
        self.memory.borrow_mut().close(id);
        self.connections.borrow_mut().close(id);
        self.closers.borrow_mut().remove(&id);
    }

    /// Returns the current values of the gauges and counters.
    pub fn gauges(&self) -> Vec<(&'static str, u64)> {
        let connections = self.connections.borrow();
        let count = |listener| connections.count(listener) as u64;
        let counts = self.counts.get();
        vec![
            ("account_bytes", self.memory.borrow().used()),
            ("connections_callers", count(Listener::Callers)),
            ("connections_ready", count(Listener::Ready)),
            ("connections_directory", count(Listener::Directory)),
            ("connections_metrics", count(Listener::Metrics)),
            ("connections_peer", count(Listener::Peer)),
            ("closed_for_memory_total", counts.closed_memory),
            ("closed_for_connections_total", counts.closed_connections),
            ("refused_for_memory_total", counts.refused_memory),
            ("refused_for_connections_total", counts.refused_connections),
        ]
    }

    fn close(&self, id: u64, reason: CloseReason) {
        self.count(|c| match reason {
            CloseReason::Memory => c.closed_memory += 1,
            CloseReason::Connections => c.closed_connections += 1,
        });
        if let Some(closer) = self.closers.borrow().get(&id) {
            // Only connections of callers have requests that are to be refused.
            let may_refuse = closer.listener == Listener::Callers;
            let sender = match reason {
                CloseReason::Memory if may_refuse => &closer.yield_memory,
                _ => &closer.end,
            };
            // If the channel is full, the connection has been asked already.
            let _ = sender.try_send(());
            info!(target: REQUESTS, event = "connection_closed", listener = ?closer.listener, ?reason);
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

#[cfg(test)]
mod tests;
