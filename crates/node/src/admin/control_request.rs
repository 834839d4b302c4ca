//! Requests to the control thread, each with a timeout for the reply.

use std::time::Duration;

use async_std::{
    channel::{Sender, bounded},
    future::timeout,
};
use model::Code;

use crate::{
    admin::api_error::ApiError,
    context::Context,
    control::{AdminRequest, ControlEvent},
};

/// Timeout for the reply to a query, which the control thread answers from memory.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request to the control thread and returns the reply, or an error with code
/// [`Code::AdminBusy`] after [`REPLY_TIMEOUT`]. `request` builds the request from the sender for the
/// reply.
pub async fn request_control<T>(
    ctx: &Context,
    request: impl FnOnce(Sender<T>) -> AdminRequest,
) -> Result<T, ApiError> {
    request_control_within(ctx, REPLY_TIMEOUT, request)
        .await
        .ok_or_else(|| busy("the control thread did not reply in time"))
}

/// Sends a request to the control thread. Returns `None` if no reply arrives within `time_limit` or if
/// the control thread has stopped.
pub async fn request_control_within<T>(
    ctx: &Context,
    time_limit: Duration,
    request: impl FnOnce(Sender<T>) -> AdminRequest,
) -> Option<T> {
    let (sender, replies) = bounded(1);
    let event = ControlEvent::Admin(request(sender));
    ctx.control.send(event).await.ok()?;
    timeout(time_limit, replies.recv()).await.ok()?.ok()
}

fn busy(detail: &str) -> ApiError {
    ApiError::new(
        Code::AdminBusy,
        format!("{detail}; retry, or send the request to another instance"),
    )
}
