//! An accepted connection, which counts until it is dropped.

use std::rc::Rc;

use async_std::channel::Receiver;
use model::Time;

use super::{HeldBytes, Resources};

/// An accepted connection of a listener.
#[derive(Debug)]
pub struct Connection {
    resources: Rc<Resources>,
    id: u64,
    ended: Receiver<()>,
    yielded: Receiver<()>,
}

impl Connection {
    /// Wraps the connection `id`. `ended` tells when it must end at once, `yielded` when it must give
    /// back its memory, refuse its request and end.
    pub fn new(
        resources: Rc<Resources>,
        id: u64,
        ended: Receiver<()>,
        yielded: Receiver<()>,
    ) -> Self {
        Self {
            resources,
            id,
            ended,
            yielded,
        }
    }

    /// Returns an empty share of the memory of this connection.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes::new(Rc::clone(&self.resources), self.id)
    }

    /// Sets since when the instance has waited for the caller, or `None` while a request is in progress.
    pub fn set_waiting(&self, since: Option<Time>) {
        self.resources.set_waiting(self.id, since);
    }

    /// Records that the caller sends the first bytes of a request.
    pub fn begin_request(&self, now: Time) {
        self.resources.begin_request(self.id, now);
    }

    /// Records that the caller has sent or read something.
    pub fn record_progress(&self, now: Time) {
        self.resources.record_progress(self.id, now);
    }

    /// Waits until the connection must end at once.
    pub async fn ended(&self) {
        wait(&self.ended).await;
    }

    /// Waits until the connection must give back its memory.
    pub async fn yielded(&self) {
        wait(&self.yielded).await;
    }
}

async fn wait(receiver: &Receiver<()>) {
    // The sender is dropped only with the connection.
    if receiver.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.resources.remove(self.id);
    }
}
