//! Polls the instance list and passes it to the control thread.

use std::{sync::Arc, time::Duration};

use async_std::task;
use store::ListClient;
use tracing::warn;
use wire::ListAnswer;

use crate::{Token, context::Context, control::ControlEvent};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the list until cancelled. The platform does not send an unchanged list again, because the
/// whole list of 730 targets takes 144 KB; the last list is then passed on again, so that the control
/// thread knows that it is up to date.
pub async fn read_list(ctx: Arc<Context>, cancel: Token) {
    let client = ListClient::new(ctx.settings.list);
    let mut last = ListAnswer::default();
    let mut failing = false;
    while !cancel.is_cancelled() {
        let Some(poll) = cancel.run(Box::pin(client.changes(last.version))).await else {
            return;
        };
        match poll {
            Ok(answer) => {
                failing = false;
                if let Some(answer) = answer {
                    last = answer;
                }
                let _ = ctx.control.send(ControlEvent::List(last.clone())).await;
            }
            Err(error) => {
                if !failing {
                    warn!(event = "list_read_failed", instance = %ctx.settings.instance, %error);
                }
                failing = true;
            }
        }
        cancel.run(task::sleep(POLL_INTERVAL)).await;
    }
}
