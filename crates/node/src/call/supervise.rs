//! Limits on work done for one caller: time, the caller's presence, its pace, and the instance's end.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use async_std::net::TcpStream;
use futures::{future, pin_mut};
use model::Time;

use crate::{Token, call::body::BodyState, clock::Clock, ticks::Ticks};

/// Why work was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The time is over.
    Deadline,
    /// The caller closed or lost its connection.
    CallerGone,
    /// The caller sends its body too slowly.
    SlowSender,
    /// The instance ends.
    Ended,
}

/// What work is bounded by.
#[derive(Clone, Debug)]
pub struct Limits<'a> {
    /// Clock of the instance.
    pub clock: Clock,
    /// Ticks of the instance.
    pub ticks: &'a Ticks,
    /// End of the time.
    pub deadline: Time,
    /// Connection to the caller.
    pub caller: &'a TcpStream,
    /// Request body, while it may still arrive.
    pub body: Option<Arc<BodyState>>,
    /// Token of the connection.
    pub cancel: &'a Token,
}

/// Runs `work` within `limits`.
pub async fn supervise<T>(
    limits: &Limits<'_>,
    work: impl Future<Output = T>,
) -> Result<T, StopReason> {
    let gone = watch_caller(limits);
    pin_mut!(gone, work);
    let either = future::poll_fn(|cx| poll_either(work.as_mut(), gone.as_mut(), cx));
    limits.ticks.run(either, || check(limits)).await?
}

fn poll_either<T>(
    work: Pin<&mut impl Future<Output = T>>,
    gone: Pin<&mut impl Future<Output = ()>>,
    cx: &mut Context<'_>,
) -> Poll<Result<T, StopReason>> {
    if let Poll::Ready(value) = work.poll(cx) {
        return Poll::Ready(Ok(value));
    }
    gone.poll(cx).map(|()| Err(StopReason::CallerGone))
}

fn check(limits: &Limits<'_>) -> Option<StopReason> {
    if limits.cancel.is_cancelled() {
        return Some(StopReason::Ended);
    }
    if limits.clock.now() >= limits.deadline {
        return Some(StopReason::Deadline);
    }
    let body = limits.body.as_ref()?;
    if body.has_failed() {
        return Some(StopReason::CallerGone);
    }
    (!body.is_whole() && body.is_slow()).then_some(StopReason::SlowSender)
}

/// Ends when the caller closes its connection. While its body arrives, the reader of the body sees
/// that. A caller that sends more before it has its answer cannot be watched.
async fn watch_caller(limits: &Limits<'_>) {
    if let Some(body) = &limits.body {
        // Polled at each tick.
        future::poll_fn(|_| {
            if body.is_whole() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
    let mut byte = [0];
    match limits.caller.peek(&mut byte).await {
        Ok(0) | Err(_) => (),
        Ok(_) => future::pending().await,
    }
}
