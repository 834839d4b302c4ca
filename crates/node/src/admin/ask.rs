//! Exchanges with the control thread, bounded in time.

use std::time::Duration;

use async_std::{
    channel::{Sender, bounded},
    future::timeout,
};
use model::Code;

use crate::{
    admin::problem::Problem,
    context::Context,
    control::{AdminRequest, ControlEvent},
};

/// Time for the control thread to answer a question. It answers from memory.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Asks the control thread.
pub async fn ask<T>(
    ctx: &Context,
    request: impl FnOnce(Sender<T>) -> AdminRequest,
) -> Result<T, Problem> {
    ask_within(ctx, ANSWER_LIMIT, request)
        .await
        .ok_or_else(|| busy("the control thread did not answer in time"))
}

/// Asks the control thread; `None` without a reply within `limit`.
pub async fn ask_within<T>(
    ctx: &Context,
    limit: Duration,
    request: impl FnOnce(Sender<T>) -> AdminRequest,
) -> Option<T> {
    let (sender, replies) = bounded(1);
    let event = ControlEvent::Admin(request(sender));
    ctx.control.send(event).await.ok()?;
    timeout(limit, replies.recv()).await.ok()?.ok()
}

fn busy(detail: &str) -> Problem {
    Problem::new(
        Code::AdminBusy,
        format!("{detail}; ask again or ask another instance"),
    )
}
