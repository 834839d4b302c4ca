//! Stops work for a caller at its deadline, when the caller disconnects or sends too slowly, and when
//! the instance ends.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use async_std::net::TcpStream;
use futures::{future, pin_mut};
use model::Time;

use crate::{Token, call::body::BodyState, clock::Clock, ticks::Ticks};

/// Why work was stopped. Log lines contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The deadline has passed.
    Deadline,
    /// The caller closed or lost its connection.
    CallerGone,
    /// The caller sends its body too slowly.
    SlowSender,
    /// The instance is ending.
    Ended,
}

/// Conditions under which work continues.
#[derive(Clone, Debug)]
pub struct Limits<'a> {
    /// Clock of the instance.
    pub clock: Clock,
    /// Ticks of the instance.
    pub ticks: &'a Ticks,
    /// Time at which the work is stopped.
    pub deadline: Time,
    /// Connection to the caller.
    pub caller: &'a TcpStream,
    /// State of the request body, if it may still be arriving.
    pub body: Option<Arc<BodyState>>,
    /// Token that cancels the work on the connection.
    pub cancel: &'a Token,
}

/// Runs `work` until it ends or a condition of `limits` stops it.
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
    (!body.is_complete() && body.is_slow()).then_some(StopReason::SlowSender)
}

/// Returns when the caller closes its connection. While the request body arrives, its reader detects
/// that instead. After the caller has sent bytes beyond the request, a close cannot be detected.
async fn watch_caller(limits: &Limits<'_>) {
    if let Some(body) = &limits.body {
        // Polled at each tick.
        future::poll_fn(|_| {
            if body.is_complete() {
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
