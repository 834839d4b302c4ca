//! The command `explain`: prints the log lines of gateway instances about one request, each with the
//! state of the instance at that time, such as its configuration and the zones out of service.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read},
};

use serde_json::json;

use crate::{args::Explain, exit::Exit, failure::Failure, log_line::LogLine, output::Output};

/// Events that change the state of an instance. An event replaces the previous one of the same name
/// and subject.
const STATE_EVENTS: &[&str] = &[
    "started",
    "ready",
    "stopping",
    "config",
    "crash_suspected",
    "crash_confirmed",
    "crash_cleared",
    "zone_out",
    "zone_back",
    "store_lost",
    "store_regained",
    "target",
    "target_gone",
    "target_unreachable",
    "target_leaving",
    "target_closed",
    "target_limit",
    "target_unlimited",
    "targets_lapsed",
    "joined",
    "join_by_store",
    "rollout",
    "rollout_stage",
    "rollout_stopped",
    "rollout_verdict",
    "lines_dropped",
];
/// State events that are printed with every line about the request. Others are printed only if the line
/// names their subject.
const ALWAYS_SHOWN: &[&str] = &[
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

/// State of one instance: the line of the latest state event by event name and subject.
type InstanceState<'a> = BTreeMap<(&'a str, &'a str), &'a LogLine>;

/// Prints the lines about a request. Returns [`Exit::Rejected`] if there are none.
pub fn explain(args: &Explain, output: Output) -> Result<Exit, Failure> {
    let text = read_all(&args.files)?;
    let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    // The sort is stable. Lines without a time, such as those about dropped lines, come first.
    lines.sort_by(|a, b| a.time().cmp(b.time()));
    let explanation = explain_request(&args.id, &lines);
    let is_found = !explanation.is_empty();
    let instances: std::collections::BTreeSet<&str> = lines.iter().map(LogLine::instance).collect();
    let value = json!({ "id": args.id, "lines": explanation, "read": lines.len() });
    output.print_result(&value, |_| {
        if is_found {
            return explanation.join("\n");
        }
        format!(
            "no line about {} in {} lines of {} instances; the request reached none of them, or its \
             lines were dropped or are in other files",
            args.id,
            lines.len(),
            instances.len()
        )
    });
    Ok(if is_found { Exit::Done } else { Exit::Rejected })
}

/// Reads and joins the files, or reads standard input if there are none.
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

/// Returns the lines about the request `id`, each followed by the state of its instance.
fn explain_request(id: &str, lines: &[LogLine]) -> Vec<String> {
    let mut states: BTreeMap<&str, InstanceState<'_>> = BTreeMap::new();
    let mut explanation = Vec::new();
    for line in lines {
        let state = states.entry(line.instance()).or_default();
        if line.get("id") == Some(id) {
            explanation.push(format!("{} {}", line.time(), line.text()));
            explanation.extend(state_lines(line, state));
        }
        let event = line.get("event").unwrap_or_default();
        if let Some(name) = STATE_EVENTS.iter().find(|name| **name == event) {
            match event {
                "store_regained" => drop(state.remove(&("store_lost", line.subject()))),
                "crash_cleared" => {
                    for event in ["crash_suspected", "crash_confirmed"] {
                        state.remove(&(event, line.subject()));
                    }
                }
                "zone_back" => drop(state.remove(&("zone_out", line.subject()))),
                _ => drop(state.insert((name, line.subject()), line)),
            }
        }
    }
    explanation
}

/// Renders the state events that matter to `line`: those in [`ALWAYS_SHOWN`], and those whose subject
/// the line names.
fn state_lines(line: &LogLine, state: &InstanceState<'_>) -> Vec<String> {
    let text = line.text();
    let is_named = |subject: &str| subject.len() > 1 && text.contains(subject);
    let shown = state
        .iter()
        .filter(|((event, subject), _)| ALWAYS_SHOWN.contains(event) || is_named(subject));
    shown
        .map(|(_, event)| format!("    since {} {}", event.time(), event.text()))
        .collect()
}
