//! The command `watch`: waits until an offset is in force on every instance.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use async_std::task;
use model::InstanceId;
use serde::Serialize;
use wire::Status;

use crate::{args::Watch, client::Client, exit::Exit, failure::Failure, output::Output};

/// Interval between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The result of the command.
#[derive(Debug, Serialize)]
struct Outcome {
    offset: u64,
    reached: bool,
    instances: BTreeMap<InstanceId, u64>,
}

/// Prints the offset in force on each instance whenever it changes, until all instances have reached
/// the offset of the command line or the time limit has passed.
pub async fn watch(client: &Client, args: &Watch, output: Output) -> Result<Exit, Failure> {
    let started = Instant::now();
    let wait = Duration::from_millis(args.wait_ms);
    let mut shown = BTreeMap::new();
    loop {
        let failure = match client.get::<Status>("/v1/status").await {
            Ok(status) => {
                let offsets = offsets_by_instance(status);
                show_changes(&shown, &offsets, args.offset, output);
                shown = offsets;
                if shown.values().all(|o| *o >= args.offset) {
                    finish(args.offset, true, shown, output);
                    return Ok(Exit::Done);
                }
                None
            }
            Err(failure @ Failure::Unreachable(_)) => Some(failure),
            Err(failure) => return Err(failure),
        };
        let remaining = wait.saturating_sub(started.elapsed());
        if remaining.is_zero() {
            return match failure {
                Some(failure) if shown.is_empty() => Err(failure),
                _ => {
                    finish(args.offset, false, shown, output);
                    Ok(Exit::Pending)
                }
            };
        }
        task::sleep(POLL_INTERVAL.min(remaining)).await;
    }
}

/// Returns the offset in force on each instance: the responding one and its peers.
fn offsets_by_instance(status: Status) -> BTreeMap<InstanceId, u64> {
    let mut all = status.peers;
    all.insert(status.instance, status.offset);
    all
}

fn show_changes(
    before: &BTreeMap<InstanceId, u64>,
    now: &BTreeMap<InstanceId, u64>,
    requested: u64,
    output: Output,
) {
    for (instance, offset) in now.iter().filter(|(i, o)| before.get(*i) != Some(*o)) {
        let state = if *offset >= requested {
            "reached"
        } else {
            "behind"
        };
        output.print_progress(&format!("instance {instance} offset {offset} {state}"));
    }
    for instance in before.keys().filter(|i| !now.contains_key(*i)) {
        output.print_progress(&format!("instance {instance} no longer listed"));
    }
}

fn finish(offset: u64, reached: bool, instances: BTreeMap<InstanceId, u64>, output: Output) {
    let value = Outcome {
        offset,
        reached,
        instances,
    };
    output.print_result(&value, |v| {
        let count = v.instances.len();
        let reached = v.instances.values().filter(|o| **o >= offset).count();
        format!("offset {offset} in force on {reached} of {count} instances")
    });
}
