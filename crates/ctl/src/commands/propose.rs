//! Proposals: publishing, zones, and asking where a proposal stands.

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
    client::{Client, is_unknown},
    commands::{check::read_document, check_name},
    exit::Exit,
    failure::{Failure, exit_of},
    output::Output,
};

/// Interval at which a pending proposal is asked for.
const POLL: Duration = Duration::from_millis(200);

/// Checks and publishes a document.
pub async fn publish(client: &Client, args: &Publish, output: Output) -> Result<Exit, Failure> {
    check_name("tenant", &args.tenant)?;
    let id = proposal_id(args.id.as_deref())?;
    let (text, _) = read_document(&args.file)?;
    let path = format!("/v1/config/{}", args.tenant);
    let base = match args.base {
        Some(base) => base,
        None => client.get::<ConfigAnswer>(&path).await?.revision,
    };
    output.progress(&format!("proposal {id} against revision {base}"));
    let request = PublishRequest {
        id: id.clone(),
        base,
        text,
    };
    let answer = decide(client, &path, &request, &id, args.wait_ms).await?;
    let again = format!(
        "hibiscusctl publish {} --tenant {} --base {base} --id {id}",
        args.file, args.tenant
    );
    Ok(report(&answer, &again, output))
}

/// Takes a zone out or back.
pub async fn zone(client: &Client, args: &Zone, output: Output) -> Result<Exit, Failure> {
    check_name("zone", &args.name)?;
    let id = proposal_id(args.id.as_deref())?;
    let base = match args.base {
        Some(base) => base,
        None => zone_base(&client.get("/v1/status").await?, &args.name),
    };
    output.progress(&format!("proposal {id} against change {base}"));
    let out = args.direction == Direction::Out;
    let request = ZoneRequest {
        id: id.clone(),
        base,
        out,
    };
    let path = format!("/v1/zones/{}", args.name);
    let answer = decide(client, &path, &request, &id, args.wait_ms).await?;
    let word = if out { "out" } else { "back" };
    let again = format!(
        "hibiscusctl zone {word} {} --base {base} --id {id}",
        args.name
    );
    Ok(report(&answer, &again, output))
}

/// Shows where a proposal stands.
pub async fn proposal(client: &Client, args: &Proposal, output: Output) -> Result<Exit, Failure> {
    for part in args.id.splitn(2, '/') {
        check_name("proposal", part)?;
    }
    let path = format!("/v1/proposals/{}", args.id);
    let answer: ProposalAnswer = client.get(&path).await?;
    Ok(report(
        &answer,
        "the command that made it, with the same id",
        output,
    ))
}

/// Sends a proposal and asks for it until it is decided or `wait_ms` have passed.
async fn decide(
    client: &Client,
    path: &str,
    request: &impl Serialize,
    id: &str,
    wait_ms: u64,
) -> Result<ProposalAnswer, Failure> {
    let started = Instant::now();
    let wait = Duration::from_millis(wait_ms);
    let unanswered = |failure| match failure {
        Failure::Unreachable(detail) => Failure::Unanswered {
            id: id.to_owned(),
            detail,
        },
        other => other,
    };
    let mut answer: ProposalAnswer = client.post(path, request).await.map_err(unanswered)?;
    let lookup = format!("/v1/proposals/{id}");
    while answer.code == Code::Pending && started.elapsed() < wait {
        task::sleep(POLL.min(wait.saturating_sub(started.elapsed()))).await;
        match client.get(&lookup).await {
            Ok(found) => answer = found,
            // Another instance answered, or none: the proposal is still on its way.
            Err(Failure::Unreachable(_)) => {}
            Err(failure) if is_unknown(&failure) => {}
            Err(failure) => return Err(failure),
        }
    }
    Ok(answer)
}

fn report(answer: &ProposalAnswer, again: &str, output: Output) -> Exit {
    output.result(answer, |answer| text(answer, again));
    exit_of(answer.code)
}

fn text(answer: &ProposalAnswer, again: &str) -> String {
    let mut line = format!("proposal {}: {}", answer.id, answer.code);
    if let Some(offset) = answer.offset {
        let _ = write!(line, " at offset {offset}");
    }
    if !answer.detail.is_empty() {
        let _ = write!(line, ": {}", answer.detail);
    }
    match (answer.code, answer.offset) {
        (Code::Pending, _) => {
            let id = &answer.id;
            format!(
                "{line}\nask again: hibiscusctl proposal {id}\nor repeat, which is harmless: {again}"
            )
        }
        (Code::Accepted, Some(offset)) => format!("{line}\nfollow it: hibiscusctl watch {offset}"),
        _ => line,
    }
}

/// Offset of a zone's last change.
fn zone_base(status: &Status, zone: &str) -> u64 {
    let change = status.zones.get(&model::Zone::new(zone));
    change.map_or(0, |(_, offset)| *offset)
}

fn proposal_id(given: Option<&str>) -> Result<String, Failure> {
    if let Some(id) = given {
        check_name("id", id)?;
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
