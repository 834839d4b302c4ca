//! Appends records to the log in batches.

use std::{sync::Arc, time::Duration};

use async_std::{channel::Receiver, task};
use store::LogClient;
use tracing::warn;
use wire::Record;

use crate::{Token, context::Context, control::ControlEvent};

/// Time during which records are collected into one append.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Maximum number of records in one append.
const MAX_BATCH: usize = 64;

/// Appends the records that arrive in `queue` until cancelled. A failed append is not retried here:
/// its records may be in the log, so the log has to be read first.
pub async fn append_records(ctx: Arc<Context>, cancel: Token, queue: Receiver<Record>) {
    let client = LogClient::new(ctx.settings.log, &ctx.settings.stream);
    while let Some(Ok(first)) = cancel.run(queue.recv()).await {
        cancel.run(task::sleep(BATCH_TIME)).await;
        let mut records = vec![first];
        while records.len() < MAX_BATCH {
            let Ok(record) = queue.try_recv() else {
                break;
            };
            records.push(record);
        }
        append(&ctx, &client, &records).await;
    }
}

async fn append(ctx: &Context, client: &LogClient, records: &[Record]) {
    let instance = &ctx.settings.instance;
    let mut lines = Vec::new();
    for record in records {
        match record.encode() {
            Ok(line) => lines.push(line),
            Err(error) => warn!(event = "record_refused", %instance, id = record.id, %error),
        }
    }
    if let Err(error) = Box::pin(client.append(lines)).await {
        warn!(event = "append_unknown", %instance, %error);
    }
    let ids = records.iter().map(|r| r.id.clone()).collect();
    let _ = ctx.control.send(ControlEvent::AppendEnded { ids }).await;
}
