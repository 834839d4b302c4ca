//! Follows the log and passes records to the control thread.

use std::{sync::Arc, time::Duration};

use async_std::task;
use platform::LogClient;
use tracing::warn;

use crate::{Token, context::Context, control::ControlEvent};

/// Records asked for at a time.
const READ_LIMIT: u32 = 256;
/// Time that a read waits for new records, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Reads the log until cancelled.
pub async fn read_log(ctx: Arc<Context>, cancel: Token) {
    let client = LogClient::new(ctx.settings.log, &ctx.settings.stream);
    let mut from = 1;
    while !cancel.is_cancelled() {
        let Some(read) = cancel.run(client.read(from, READ_LIMIT, WAIT_MS)).await else {
            return;
        };
        match read {
            Ok(answer) => {
                let last = answer.records.last().map(|r| r.offset);
                from = last.map_or_else(|| from.max(answer.first), |offset| offset + 1);
                if last.is_some() {
                    let _ = ctx
                        .control
                        .send(ControlEvent::Records(answer.records))
                        .await;
                }
            }
            Err(error) => {
                warn!(instance = %ctx.settings.instance, %error, "event=log_read_failed");
                cancel.run(task::sleep(RETRY_PAUSE)).await;
            }
        }
    }
}
