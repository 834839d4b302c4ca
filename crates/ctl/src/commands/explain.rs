//! The story of one request from the logs of gateway instances, with what each instance believed.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read},
};

use serde_json::json;

use crate::{args::Explain, exit::Exit, failure::Failure, log_line::LogLine, output::Output};

/// Events that change what an instance believes. The latest of each kind and subject counts.
const BELIEFS: &[&str] = &[
    "started",
    "ready",
    "stopping",
    "config",
    "zone_out",
    "zone_back",
    "store_lost",
    "store_regained",
    "target",
    "target_gone",
    "target_unreachable",
    "targets_lapsed",
    "rollout",
    "rollout_stage",
    "rollout_stopped",
    "rollout_verdict",
    "lines_dropped",
];
/// Beliefs that are shown with every decision; others only if the decision names their subject.
const ALWAYS: &[&str] = &[
    "ready",
    "stopping",
    "config",
    "zone_out",
    "store_lost",
    "rollout",
    "rollout_stage",
    "rollout_stopped",
    "rollout_verdict",
    "lines_dropped",
];

/// Beliefs of one instance: by kind and subject, the latest line.
type Beliefs<'a> = BTreeMap<(&'a str, &'a str), &'a LogLine>;

/// Prints the story of a request.
pub fn explain(args: &Explain, output: Output) -> Result<Exit, Failure> {
    let text = read_all(&args.files)?;
    let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    // Lines without a time, such as those on dropped lines, keep their place.
    lines.sort_by(|a, b| a.time().cmp(b.time()));
    let story = tell(&args.id, &lines);
    let is_found = !story.is_empty();
    let instances: std::collections::BTreeSet<&str> = lines.iter().map(LogLine::instance).collect();
    let value = json!({ "id": args.id, "lines": story, "read": lines.len() });
    output.result(&value, |_| {
        if is_found {
            return story.join("\n");
        }
        format!(
            "no line about {} in {} lines of {} instances; the request reached none of them, or its \
             lines were dropped or lie in other files",
            args.id,
            lines.len(),
            instances.len()
        )
    });
    Ok(if is_found { Exit::Done } else { Exit::Rejected })
}

fn read_all(files: &[String]) -> Result<String, Failure> {
    let mut text = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|e| Failure::Usage(format!("standard input: cannot be read: {e}")))?;
    }
    for file in files {
        let bytes =
            fs::read(file).map_err(|e| Failure::Usage(format!("{file}: cannot be read: {e}")))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    Ok(text)
}

fn tell(id: &str, lines: &[LogLine]) -> Vec<String> {
    let mut beliefs: BTreeMap<&str, Beliefs<'_>> = BTreeMap::new();
    let mut story = Vec::new();
    for line in lines {
        let of_instance = beliefs.entry(line.instance()).or_default();
        if line.get("id") == Some(id) {
            story.push(format!("{} {}", line.time(), line.text()));
            story.extend(context(line, of_instance));
        }
        let event = line.get("event").unwrap_or_default();
        if let Some(known) = BELIEFS.iter().find(|b| **b == event) {
            match event {
                "store_regained" => drop(of_instance.remove(&("store_lost", line.subject()))),
                "zone_back" => drop(of_instance.remove(&("zone_out", line.subject()))),
                _ => drop(of_instance.insert((known, line.subject()), line)),
            }
        }
    }
    story
}

/// What the instance believed at a decision.
fn context(line: &LogLine, beliefs: &Beliefs<'_>) -> Vec<String> {
    let text = line.text();
    let named = |subject: &str| subject.len() > 1 && text.contains(subject);
    let shown = beliefs
        .iter()
        .filter(|((event, subject), _)| ALWAYS.contains(event) || named(subject));
    shown
        .map(|(_, belief)| format!("    since {} {}", belief.time(), belief.text()))
        .collect()
}
