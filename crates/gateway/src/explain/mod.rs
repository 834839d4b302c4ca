//! Explains where a request would go now, and why, without sending anything and without changing any
//! state. Decides by the code that serves requests; what that draws at random is shown as weights and
//! costs.

mod query;
mod service;
mod target;

use balance::{Access, Route};
use h1::Request;
use model::Code;
use serde_json::{Value, json};

use self::{query::ExplainQuery, service::explain_service};
use crate::{
    operator_age::has_current_config,
    request::{find_route_of, unknown_route},
    response::encode_local,
    selection::processing_ms,
    state::State,
    workspaces::{Caller, check_workspace},
};

/// Path of the explanation on the address of the metrics.
pub const EXPLAIN_PATH: &str = "/explain";

/// Returns the response to a request for an explanation.
pub fn explain(state: &State, request: &Request) -> Vec<u8> {
    let close = !request.keep_alive;
    let encode = |status, reason, value: &Value| {
        let body = format!("{value}\n");
        encode_local(status, reason, "application/json", body.as_bytes(), close)
    };
    if !matches!(&*request.method, "GET" | "HEAD") {
        let error = json!({"error": "method: expected GET"});
        return encode(405, "Method Not Allowed", &error);
    }
    match ExplainQuery::parse(&request.target) {
        Ok(query) => encode(200, "OK", &explain_query(state, &query)),
        Err(error) => encode(400, "Bad Request", &json!({ "error": error })),
    }
}

/// Returns the explanation of a request.
fn explain_query(state: &State, query: &ExplainQuery) -> Value {
    let config = state.config();
    let route = config
        .as_ref()
        .and_then(|config| find_route_of(config, &query.host, query.path()));
    let access = route.as_ref().map_or(Access::Public, |route| route.access);
    let name = query.workspace.as_deref();
    let caller = config.as_ref().map_or(Ok(Caller::Unchecked), |config| {
        check_workspace(config, access, name, || has_current_config(state))
    });
    let workspace = caller.as_ref().ok().and_then(Caller::workspace);
    let mut explanation = json!({
        "instance": state.instance_id(),
        "config": state.config_version(),
        "method": query.method,
        "host": query.host,
        "path": query.path,
        "workspace": query.workspace,
        "workspace_known": workspace.is_some(),
        "refused": null,
        "route": null,
        "services": [],
    });
    let (Some(config), Some(route)) = (&config, route) else {
        let code = if state.config().is_some() {
            unknown_route(state)
        } else {
            Code::NotReady
        };
        explanation["refused"] = refusal(code);
        return explanation;
    };
    explanation["route"] = json!({
        "name": &*route.name,
        "host": &*route.host,
        "path_prefix": &*route.path_prefix,
        "idempotent": route.idempotent,
        "priority": route.priority,
        "is_urgent": config.is_urgent(&route, workspace.map(|w| &**w)),
        "objective_ms": route.objective_ms,
        "timeout_ms": route.timeout_ms,
        "max_attempts": route.max_attempts,
        "processing_ms": rounded(processing_ms(state, &route)),
    });
    if let Err(code) = caller {
        explanation["refused"] = refusal(code);
    } else if is_stopping(state, &route) {
        explanation["refused"] = refusal(Code::Stopping);
    } else if route.split.iter().all(|part| part.weight == 0) {
        explanation["refused"] = refusal(Code::NoTarget);
    }
    let services = route.split.iter();
    let services = services.map(|part| explain_service(state, config, &route, workspace, part));
    explanation["services"] = services.collect();
    explanation
}

/// Whether a request that arrives now is refused because the instance stops.
fn is_stopping(state: &State, route: &Route) -> bool {
    let now = state.now();
    let deadline = now.plus_ms(route.timeout_ms);
    let plan = state.stop_plan.get();
    plan.is_some_and(|plan| !plan.accepts(now, deadline, processing_ms(state, route)))
}

/// Returns a result code with its name.
fn refusal(code: Code) -> Value {
    json!({"code": code.number(), "name": format!("{code:?}")})
}

/// Rounds a time to a tenth of a millisecond.
fn rounded(ms: f64) -> f64 {
    (ms * 10.0).round() / 10.0
}

#[cfg(test)]
mod tests;
