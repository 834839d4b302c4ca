//! Follows the log and passes records to the control thread.

use std::{sync::Arc, time::Duration};

use async_std::{channel::bounded, task};
use store::{LogClient, StoreError};
use tracing::warn;

use crate::{Token, context::Context, control::ControlEvent};

/// Maximum number of records in one read. 64 records of 64 KiB, with every byte escaped in JSON, stay
/// within the size limit of an answer and within the memory budget of the control thread.
const READ_LIMIT: u32 = 64;
/// Time for which the log service holds a read open for new records, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Reads the log until cancelled. The control thread replies with the offset to read next, because
/// records may also come from peers, and a gap may have to be read again.
pub async fn read_log(ctx: Arc<Context>, cancel: Token) {
    let client = LogClient::new(ctx.settings.log, &ctx.settings.stream);
    let (sender, receiver) = bounded(1);
    let mut from = 1;
    let mut limit = READ_LIMIT;
    let mut failing = false;
    while !cancel.is_cancelled() {
        let Some(read) = cancel
            .run(Box::pin(client.read(from, limit, READ_WAIT_MS)))
            .await
        else {
            return;
        };
        match read {
            Ok(answer) => {
                failing = false;
                limit = READ_LIMIT;
                let event = ControlEvent::LogRead {
                    answer,
                    next: sender.clone(),
                };
                if ctx.control.send(event).await.is_err() {
                    return;
                }
                let Some(Ok(next)) = cancel.run(receiver.recv()).await else {
                    return;
                };
                from = next;
            }
            // Other writers may have appended records larger than those of this system.
            Err(StoreError::TooLarge { .. }) if limit > 1 => limit /= 2,
            Err(error) => {
                if !failing {
                    warn!(event = "log_read_failed", instance = %ctx.settings.instance, %error);
                }
                failing = true;
                cancel.run(task::sleep(RETRY_PAUSE)).await;
            }
        }
    }
}
