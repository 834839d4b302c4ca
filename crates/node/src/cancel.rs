//! Cancellation tokens. Cancelling a token also cancels its children, but not its parent.

use std::sync::Arc;

use async_std::channel::{Receiver, Sender, bounded};
use futures::future::{self, BoxFuture, FutureExt};

/// Signals tasks to end. Clones share one state.
#[derive(Clone, Debug)]
pub struct Token {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    parent: Option<Token>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Token {
    fn default() -> Self {
        Self::new()
    }
}

impl Token {
    /// Creates a token without a parent.
    #[must_use]
    pub fn new() -> Self {
        Self::with_parent(None)
    }

    /// Creates a token that is also cancelled when this one is.
    #[must_use]
    pub fn child(&self) -> Self {
        Self::with_parent(Some(self.clone()))
    }

    fn with_parent(parent: Option<Self>) -> Self {
        let (sender, receiver) = bounded(1);
        Self {
            inner: Arc::new(Inner {
                parent,
                sender,
                receiver,
            }),
        }
    }

    /// Cancels this token and its children. Closing the channel wakes all waiting tasks; nothing is
    /// ever sent on it.
    pub fn cancel(&self) {
        self.inner.sender.close();
    }

    /// Returns whether the token or one of its ancestors is cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.inner.sender.is_closed() || self.inner.parent.as_ref().is_some_and(Self::is_cancelled)
    }

    /// Waits until the token or one of its ancestors is cancelled.
    #[must_use]
    pub fn cancelled(&self) -> BoxFuture<'_, ()> {
        async move {
            let own = self.inner.receiver.recv();
            match &self.inner.parent {
                Some(parent) => {
                    future::select(own.boxed(), parent.cancelled()).await;
                }
                None => {
                    let _ = own.await;
                }
            }
        }
        .boxed()
    }

    /// Runs `task` until it ends or the token is cancelled, and returns `None` if cancelled.
    pub async fn run<T>(&self, task: impl Future<Output = T>) -> Option<T> {
        let cancelled = self.cancelled();
        futures::pin_mut!(task);
        match future::select(task, cancelled).await {
            future::Either::Left((value, _)) => Some(value),
            future::Either::Right(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
