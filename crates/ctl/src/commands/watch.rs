//! Follows an offset until it is in force on every instance.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use async_std::task;
use model::InstanceId;
use serde::Serialize;
use wire::Status;

use crate::{args::Watch, client::Client, exit::Exit, failure::Failure, output::Output};

/// Interval at which the status is read.
const POLL: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
struct Outcome {
    offset: u64,
    reached: bool,
    instances: BTreeMap<InstanceId, u64>,
}

/// Shows the offset in force on each instance whenever it changes, until all have reached the one
/// asked for or the time is over.
pub async fn watch(client: &Client, args: &Watch, output: Output) -> Result<Exit, Failure> {
    let started = Instant::now();
    let wait = Duration::from_millis(args.wait_ms);
    let mut shown = BTreeMap::new();
    loop {
        let failure = match client.get::<Status>("/v1/status").await {
            Ok(status) => {
                let found = offsets(status);
                show_changes(&shown, &found, args.offset, output);
                shown = found;
                if shown.values().all(|o| *o >= args.offset) {
                    finish(args.offset, true, shown, output);
                    return Ok(Exit::Done);
                }
                None
            }
            Err(failure @ Failure::Unreachable(_)) => Some(failure),
            Err(failure) => return Err(failure),
        };
        let left = wait.saturating_sub(started.elapsed());
        if left.is_zero() {
            return match failure {
                Some(failure) if shown.is_empty() => Err(failure),
                _ => {
                    finish(args.offset, false, shown, output);
                    Ok(Exit::Pending)
                }
            };
        }
        task::sleep(POLL.min(left)).await;
    }
}

/// Offset of each instance, the answering one included.
fn offsets(status: Status) -> BTreeMap<InstanceId, u64> {
    let mut all = status.peers;
    all.insert(status.instance, status.offset);
    all
}

fn show_changes(
    before: &BTreeMap<InstanceId, u64>,
    now: &BTreeMap<InstanceId, u64>,
    wanted: u64,
    output: Output,
) {
    for (instance, offset) in now.iter().filter(|(i, o)| before.get(*i) != Some(*o)) {
        let state = if *offset >= wanted {
            "reached"
        } else {
            "behind"
        };
        output.progress(&format!("instance {instance} offset {offset} {state}"));
    }
    for instance in before.keys().filter(|i| !now.contains_key(*i)) {
        output.progress(&format!("instance {instance} no longer listed"));
    }
}

fn finish(offset: u64, reached: bool, instances: BTreeMap<InstanceId, u64>, output: Output) {
    let value = Outcome {
        offset,
        reached,
        instances,
    };
    output.result(&value, |v| {
        let count = v.instances.len();
        let there = v.instances.values().filter(|o| **o >= offset).count();
        format!("offset {offset} in force on {there} of {count} instances")
    });
}
