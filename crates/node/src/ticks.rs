//! A shared timer tick for time limits that need no precision. A separate timer for each call would
//! cost a system call and wake the reactor's thread; a tick wakes all waiting tasks with one timer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Poll, Waker},
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    task,
};
use futures::{future::poll_fn, pin_mut};

/// Interval between ticks, and thus the error of the time limits checked at them.
pub const TICK: Duration = Duration::from_millis(5);

/// Wakes tasks at the next tick. Ticks only while tasks wait.
#[derive(Clone, Debug)]
pub struct Ticks {
    sender: Sender<Waker>,
    /// Number of ticks. A tick is counted after the tasks to wake were taken from the queue, so that a
    /// task that reads the same value as when it was queued is still in the queue.
    passed: Arc<AtomicU64>,
}

impl Ticks {
    /// Starts the task that ticks. It ends when the last clone is dropped.
    pub fn start() -> Self {
        let (sender, receiver) = unbounded();
        let passed = Arc::new(AtomicU64::new(0));
        task::spawn(tick(receiver, Arc::clone(&passed)));
        Self { sender, passed }
    }

    /// Runs `work`, and `check` at ticks, until `work` ends or `check` returns a reason to stop.
    /// `work` is also polled at each tick, because the HTTP library's reader of chunked trailers does
    /// not register a waker for the rest of a trailer that arrives in pieces.
    pub async fn run<T, S>(
        &self,
        work: impl Future<Output = T>,
        mut check: impl FnMut() -> Option<S>,
    ) -> Result<T, S> {
        let mut queued = None;
        pin_mut!(work);
        poll_fn(|cx| {
            if let Poll::Ready(value) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(value));
            }
            let passed = self.passed.load(Ordering::Acquire);
            if queued == Some(passed) {
                return Poll::Pending;
            }
            if let Some(stop) = check() {
                return Poll::Ready(Err(stop));
            }
            queued = Some(passed);
            let _ = self.sender.try_send(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

async fn tick(receiver: Receiver<Waker>, passed: Arc<AtomicU64>) {
    let mut wakers = Vec::new();
    while let Ok(first) = receiver.recv().await {
        task::sleep(TICK).await;
        wakers.push(first);
        while let Ok(waker) = receiver.try_recv() {
            wakers.push(waker);
        }
        passed.fetch_add(1, Ordering::AcqRel);
        wakers.drain(..).for_each(Waker::wake);
    }
}

#[cfg(test)]
mod tests;
