//! Polls the instance list and passes it to the control thread.

use std::{sync::Arc, time::Duration};

use async_std::task;
use platform::ListClient;
use tracing::warn;

use crate::{Token, context::Context, control::ControlEvent};

/// Interval of polls.
const POLL: Duration = Duration::from_secs(1);

/// Polls the list until cancelled.
pub async fn read_list(ctx: Arc<Context>, cancel: Token) {
    let client = ListClient::new(ctx.settings.list);
    while !cancel.is_cancelled() {
        let Some(poll) = cancel.run(client.entries()).await else {
            return;
        };
        match poll {
            Ok(answer) => {
                let _ = ctx.control.send(ControlEvent::List(answer)).await;
            }
            Err(error) => {
                warn!(instance = %ctx.settings.instance, %error, "event=list_read_failed");
            }
        }
        cancel.run(task::sleep(POLL)).await;
    }
}
