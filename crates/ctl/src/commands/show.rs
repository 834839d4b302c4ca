//! The commands `status`, `moves` and `audit`.

use std::fmt::Write as _;

use wire::{AuditEntry, AuditPage, MoveStatus, MovesAnswer, Status, Verdict};

use crate::{args::Audit, client::Client, exit::Exit, failure::Failure, output::Output};

/// Prints offsets, revisions, zones and moves.
pub async fn status(client: &Client, output: Output) -> Result<Exit, Failure> {
    let status: Status = client.get("/v1/status").await?;
    output.print_result(&status, status_text);
    Ok(Exit::Done)
}

/// Prints the version moves.
pub async fn moves(client: &Client, output: Output) -> Result<Exit, Failure> {
    let answer: MovesAnswer = client.get("/v1/moves").await?;
    output.print_result(&answer, |answer| {
        let lines: Vec<String> = answer.moves.iter().map(move_text).collect();
        lines.join("\n")
    });
    Ok(Exit::Done)
}

/// Prints one page of the audit trail.
pub async fn audit(client: &Client, args: &Audit, output: Output) -> Result<Exit, Failure> {
    let path = format!("/v1/audit?from={}&limit={}", args.from, args.limit);
    let page: AuditPage = client.get(&path).await?;
    output.print_result(&page, |page| {
        let mut lines: Vec<String> = page.entries.iter().map(entry_text).collect();
        if let Some(next) = page.next {
            lines.push(format!("more: hibiscusctl audit --from {next}"));
        }
        lines.join("\n")
    });
    Ok(Exit::Done)
}

fn status_text(status: &Status) -> String {
    let log = if status.log_up { "up" } else { "down" };
    let mut lines = vec![format!(
        "instance {} offset {} log {log}",
        status.instance, status.offset
    )];
    let peers = status.peers.iter();
    lines.extend(peers.map(|(peer, offset)| format!("instance {peer} offset {offset}")));
    let revisions = status.revisions.iter();
    lines
        .extend(revisions.map(|(tenant, revision)| format!("tenant {tenant} revision {revision}")));
    let zones = status.zones.iter();
    lines.extend(zones.map(|(zone, (out, offset))| {
        let state = if *out { "out" } else { "in service" };
        format!("zone {zone} {state} since offset {offset}")
    }));
    lines.extend(status.moves.iter().map(move_text));
    lines.join("\n")
}

fn move_text(status: &MoveStatus) -> String {
    let state = match status.verdict {
        None => "in progress",
        Some(Verdict::Done) => "done",
        Some(Verdict::Undone) => "undone",
    };
    let mut text = format!(
        "move {} from {} to {} share {}.{:02}% deadline {} {state}",
        status.plan,
        status.from,
        status.to,
        status.share / 100,
        status.share % 100,
        status.deadline,
    );
    if let Some(decided) = status.decided {
        let _ = write!(text, " at {decided}");
    }
    if !status.reason.is_empty() {
        let _ = write!(text, " ({})", status.reason);
    }
    text
}

fn entry_text(entry: &AuditEntry) -> String {
    let tenant = entry.tenant.as_ref().map_or("-", |t| t.as_str());
    format!(
        "{} {} {} {tenant} {} base {} {}: {}",
        entry.offset, entry.at, entry.author, entry.id, entry.base, entry.code, entry.what
    )
}
