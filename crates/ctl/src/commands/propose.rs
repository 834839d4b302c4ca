//! The commands `publish`, `zone` and `proposal`.

use std::{
    fmt::Write as _,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::task;
use model::Code;
use serde::Serialize;
use wire::{ConfigAnswer, ProposalAnswer, PublishRequest, Status, ZoneRequest};

use crate::{
    args::{Direction, Proposal, Publish, Zone},
    client::{Client, is_unknown_proposal},
    commands::{check::read_document, check_identifier},
    exit::Exit,
    failure::{Failure, exit_of},
    output::Output,
};

/// Interval between two queries of a pending proposal.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Checks a configuration document, publishes it and waits for the decision.
pub async fn publish(client: &Client, args: &Publish, output: Output) -> Result<Exit, Failure> {
    check_identifier("tenant", &args.tenant)?;
    let id = proposal_id(args.id.as_deref())?;
    let (text, _) = read_document(&args.file)?;
    let path = format!("/v1/config/{}", args.tenant);
    let base = match args.base {
        Some(base) => base,
        None => client.get::<ConfigAnswer>(&path).await?.revision,
    };
    output.print_progress(&format!("proposal {id} against revision {base}"));
    let request = PublishRequest {
        id: id.clone(),
        base,
        text,
    };
    let answer = propose_and_wait(client, &path, &request, &id, args.wait_ms).await?;
    let retry_command = format!(
        "hibiscusctl publish {} --tenant {} --base {base} --id {id}",
        args.file, args.tenant
    );
    Ok(report(&answer, &retry_command, output))
}

/// Takes an availability zone out of service or back, and waits for the decision.
pub async fn zone(client: &Client, args: &Zone, output: Output) -> Result<Exit, Failure> {
    check_identifier("zone", &args.name)?;
    let id = proposal_id(args.id.as_deref())?;
    let base = match args.base {
        Some(base) => base,
        None => zone_base(&client.get("/v1/status").await?, &args.name),
    };
    output.print_progress(&format!("proposal {id} against change {base}"));
    let out = args.direction == Direction::Out;
    let request = ZoneRequest {
        id: id.clone(),
        base,
        out,
    };
    let path = format!("/v1/zones/{}", args.name);
    let answer = propose_and_wait(client, &path, &request, &id, args.wait_ms).await?;
    let word = if out { "out" } else { "back" };
    let retry_command = format!(
        "hibiscusctl zone {word} {} --base {base} --id {id}",
        args.name
    );
    Ok(report(&answer, &retry_command, output))
}

/// Prints the state of a proposal.
pub async fn proposal(client: &Client, args: &Proposal, output: Output) -> Result<Exit, Failure> {
    for part in args.id.splitn(2, '/') {
        check_identifier("proposal", part)?;
    }
    let path = format!("/v1/proposals/{}", args.id);
    let answer: ProposalAnswer = client.get(&path).await?;
    Ok(report(
        &answer,
        "the command that made the proposal, with the same id",
        output,
    ))
}

/// Sends a proposal and queries its state until it is decided or `wait_ms` have passed.
async fn propose_and_wait(
    client: &Client,
    path: &str,
    request: &impl Serialize,
    id: &str,
    wait_ms: u64,
) -> Result<ProposalAnswer, Failure> {
    let started = Instant::now();
    let wait = Duration::from_millis(wait_ms);
    let to_unanswered = |failure| match failure {
        Failure::Unreachable(detail) => Failure::Unanswered {
            id: id.to_owned(),
            detail,
        },
        other => other,
    };
    let mut answer: ProposalAnswer = client.post(path, request).await.map_err(to_unanswered)?;
    let proposal_path = format!("/v1/proposals/{id}");
    while answer.code == Code::Pending && started.elapsed() < wait {
        task::sleep(POLL_INTERVAL.min(wait.saturating_sub(started.elapsed()))).await;
        match client.get(&proposal_path).await {
            Ok(found) => answer = found,
            // No instance responded, or one that has not read the proposal from the log yet.
            Err(Failure::Unreachable(_)) => {}
            Err(failure) if is_unknown_proposal(&failure) => {}
            Err(failure) => return Err(failure),
        }
    }
    Ok(answer)
}

/// Prints the state of a proposal and returns the exit code for it.
fn report(answer: &ProposalAnswer, retry_command: &str, output: Output) -> Exit {
    output.print_result(answer, |answer| answer_text(answer, retry_command));
    exit_of(answer.code)
}

/// Renders the state of a proposal, with the commands that may follow.
fn answer_text(answer: &ProposalAnswer, retry_command: &str) -> String {
    let mut line = format!("proposal {}: {}", answer.id, answer.code);
    if let Some(offset) = answer.offset {
        let _ = write!(line, " at offset {offset}");
    }
    if !answer.detail.is_empty() && answer.detail != answer.code.text() {
        let _ = write!(line, ": {}", answer.detail);
    }
    match (answer.code, answer.offset) {
        (Code::Pending, _) => {
            let id = &answer.id;
            format!(
                "{line}\nask again: hibiscusctl proposal {id}\nor repeat, which is harmless: \
                 {retry_command}"
            )
        }
        (Code::Accepted, Some(offset)) => format!("{line}\nfollow it: hibiscusctl watch {offset}"),
        _ => line,
    }
}

/// Returns the offset of the last change of a zone, or 0 if it was never changed.
fn zone_base(status: &Status, zone: &str) -> u64 {
    let change = status.zones.get(&model::Zone::new(zone));
    change.map_or(0, |(_, offset)| *offset)
}

/// Returns the proposal id of the command line, or a new random one.
fn proposal_id(given: Option<&str>) -> Result<String, Failure> {
    if let Some(id) = given {
        check_identifier("id", id)?;
        return Ok(id.to_owned());
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(format!(
        "ctl-{}-{:08x}",
        now.as_millis(),
        rand::random::<u32>()
    ))
}
