//! Limits on work done for one caller: time, the caller's presence, its pace, and the instance's end.

use std::{sync::Arc, time::Duration};

use async_std::{net::TcpStream, task};
use futures::{FutureExt, future, pin_mut, select_biased};
use model::Time;

use crate::{Token, call::body::BodyState, clock::Clock};

/// Interval at which limits without an event of their own are checked.
const TICK: Duration = Duration::from_millis(20);

/// Why work was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
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
    /// End of the time.
    pub deadline: Time,
    /// Connection to the caller.
    pub caller: &'a TcpStream,
    /// Request body, while it may still arrive.
    pub body: Option<Arc<BodyState>>,
    /// Token of the connection.
    pub cancel: &'a Token,
}

/// Runs `work` within `limits`. `work` is also polled at each tick: the library's reader of chunked
/// trailers does not ask to be woken for the rest of a trailer that arrives in parts.
pub async fn supervise<T>(limits: &Limits<'_>, work: impl Future<Output = T>) -> Result<T, Stop> {
    let gone = watch_caller(limits).fuse();
    let work = work.fuse();
    pin_mut!(gone, work);
    loop {
        let left = limits.deadline.since_us(limits.clock.now());
        let tick = task::sleep(TICK.min(Duration::from_micros(left))).fuse();
        pin_mut!(tick);
        select_biased! {
            value = work => return Ok(value),
            () = gone => return Err(Stop::CallerGone),
            () = tick => check(limits)?,
        }
    }
}

fn check(limits: &Limits<'_>) -> Result<(), Stop> {
    if limits.cancel.is_cancelled() {
        return Err(Stop::Ended);
    }
    if limits.clock.now() >= limits.deadline {
        return Err(Stop::Deadline);
    }
    match &limits.body {
        Some(body) if !body.is_whole() && body.is_slow() => Err(Stop::SlowSender),
        _ => Ok(()),
    }
}

/// Ends when the caller closes its connection. While its body arrives, the reader of the body sees
/// that. A caller that sends more before it has its answer cannot be watched.
async fn watch_caller(limits: &Limits<'_>) {
    if let Some(body) = &limits.body {
        while !body.is_whole() {
            task::sleep(TICK).await;
        }
    }
    let mut byte = [0];
    match limits.caller.peek(&mut byte).await {
        Ok(0) | Err(_) => (),
        Ok(_) => future::pending().await,
    }
}
