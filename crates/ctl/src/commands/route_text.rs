//! Text form of an instance's explanation of a request.

use serde_json::Value;

/// Returns the explanation as lines of `key=value` pairs, indented below what they belong to.
pub fn to_text(explanation: &Value) -> String {
    let keys = ["instance", "config", "method", "host", "path"];
    let mut lines = vec![pairs(explanation, &keys)];
    if !explanation["workspace"].is_null() {
        let keys = ["workspace", "workspace_known"];
        lines.push(pairs(explanation, &keys));
    }
    if !explanation["route"].is_null() {
        lines.push(format!("route {}", all_pairs(&explanation["route"])));
    }
    lines.extend(refusal(explanation, ""));
    for service in items(&explanation["services"]) {
        let keys = ["service", "weight", "load", "urgency_rank", "contact"];
        lines.push(pairs(service, &keys));
        if !service["rollout"].is_null() {
            lines.push(format!("  rollout {}", all_pairs(&service["rollout"])));
        }
        for decision in items(&service["decisions"]) {
            push_decision(&mut lines, decision);
        }
    }
    lines.join("\n")
}

fn push_decision(lines: &mut Vec<String>, decision: &Value) {
    lines.push(format!(
        "  decision {}",
        pairs(decision, &["new_version", "not_preferred"])
    ));
    for candidate in items(&decision["candidates"]) {
        lines.push(format!("    candidate {}", all_pairs(candidate)));
    }
    for excluded in items(&decision["excluded"]) {
        lines.push(format!("    excluded {}", all_pairs(excluded)));
    }
    let admission = &decision["admission"];
    let keys = ["admitted", "wait_ms"];
    lines.push(format!("    admission {}", pairs(admission, &keys)));
    lines.extend(refusal(admission, "      "));
    if decision["hedge"].is_null() {
        lines.push(String::from("    hedge none"));
    } else {
        lines.push(format!("    hedge {}", all_pairs(&decision["hedge"])));
    }
}

/// Returns a line with the result code under `refused`, if there is one.
fn refusal(value: &Value, indent: &str) -> Option<String> {
    let refused = &value["refused"];
    (!refused.is_null()).then(|| format!("{indent}refused {}", all_pairs(refused)))
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn pairs(value: &Value, keys: &[&str]) -> String {
    let pairs = keys
        .iter()
        .map(|key| format!("{key}={}", plain(&value[*key])));
    pairs.collect::<Vec<_>>().join(" ")
}

/// Returns all values of an object that are not `null`. Those of an inner object follow its key and a
/// dot.
fn all_pairs(value: &Value) -> String {
    let fields = value.as_object().into_iter().flatten();
    let shown = fields.filter(|(_, value)| !value.is_null());
    let pairs = shown.flat_map(|(key, value)| match value.as_object() {
        Some(inner) => inner
            .iter()
            .map(|(name, value)| format!("{key}.{name}={}", plain(value)))
            .collect(),
        None => vec![format!("{key}={}", plain(value))],
    });
    pairs.collect::<Vec<_>>().join(" ")
}

/// Returns a value without the quotation marks of a string.
fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
