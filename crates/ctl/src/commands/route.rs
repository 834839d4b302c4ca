//! The command `route`: asks a gateway instance where a request would go now, and why.

use http_types::Method;
use serde_json::Value;
use store::{HttpAnswer, HttpRequest, exchange};

use crate::{
    args::Route, client::check_limit, commands::route_text::to_text, exit::Exit, failure::Failure,
    output::Output,
};

/// Asks the instance and prints its explanation. Returns [`Exit::Rejected`] if the instance would refuse
/// the request.
pub async fn route(limit_ms: u64, args: &Route, output: Output) -> Result<Exit, Failure> {
    check_limit(limit_ms)?;
    let path = explain_path(args);
    let request = HttpRequest {
        addr: args.instance,
        method: Method::Get,
        path: &path,
        token: None,
        body: &[],
        limit_ms,
    };
    let answer = exchange(&request).await;
    let explanation = parse(&answer.map_err(|e| Failure::Unreachable(e.to_string()))?)?;
    output.print_result(&explanation, to_text);
    Ok(if is_served(&explanation) {
        Exit::Done
    } else {
        Exit::Rejected
    })
}

/// Returns the path and query that ask for the explanation.
fn explain_path(args: &Route) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("host", &args.host);
    query.append_pair("path", &args.path);
    query.append_pair("method", &args.method);
    if let Some(workspace) = &args.workspace {
        query.append_pair("workspace", workspace);
    }
    format!("/explain?{}", query.finish())
}

fn parse(answer: &HttpAnswer) -> Result<Value, Failure> {
    let value: Value =
        serde_json::from_slice(&answer.body).map_err(|e| Failure::Malformed(e.to_string()))?;
    match answer.status {
        200 if value.get("services").is_some_and(Value::is_array) => Ok(value),
        400 => Err(Failure::Usage(
            value["error"].as_str().unwrap_or_default().to_owned(),
        )),
        status => Err(Failure::Malformed(format!("status {status}"))),
    }
}

/// Whether a request would be sent, at least for one of its services and versions.
fn is_served(explanation: &Value) -> bool {
    let admits = |decision: &Value| decision["admission"]["admitted"] == true;
    let services = explanation["services"].as_array().into_iter().flatten();
    let mut decisions = services.filter_map(|s| s["decisions"].as_array()).flatten();
    explanation["refused"].is_null() && decisions.any(admits)
}
