//! Routing of paths and methods to endpoints, authentication, and the log line of each request.

use std::{future::Future, sync::Arc};

use http_types::Method;
use model::{Code, Operator};
use tide::{Server, StatusCode};
use tracing::{debug, info};

use crate::admin::{
    api_error::ApiError,
    endpoints::{
        AdminState, EndpointResult, Request, get_audit, get_config, get_moves, get_proposal,
        get_status, health, post_config, post_zone,
    },
};

/// Number of characters of a path after which a log line cuts it off.
const MAX_PATH_LOGGED: usize = 200;

/// Builds the tide application with all routes.
pub fn routes(admin: Arc<AdminState>) -> Server<Arc<AdminState>> {
    let mut app = tide::with_state(admin);
    app.with(tide::utils::After(add_error_body));
    app.at("/v1/health")
        .get(|req: Request| async move { into_tide_result(health(&req.state().ctx)) });
    app.at("/v1/config/:tenant")
        .get(|req| authenticated(req, get_config))
        .post(|req| authenticated(req, post_config));
    app.at("/v1/zones/:zone")
        .post(|req| authenticated(req, post_zone));
    app.at("/v1/proposals/:id")
        .get(|req| authenticated(req, get_proposal));
    app.at("/v1/proposals/:tenant/:id")
        .get(|req| authenticated(req, get_proposal));
    app.at("/v1/status")
        .get(|req| authenticated(req, get_status));
    app.at("/v1/moves").get(|req| authenticated(req, get_moves));
    app.at("/v1/audit").get(|req| authenticated(req, get_audit));
    app
}

/// Authenticates the operator, runs the endpoint and logs the request. Responds with 401 and does not
/// run the endpoint if the token is missing or unknown.
async fn authenticated<F, Fut>(req: Request, endpoint: F) -> tide::Result
where
    F: FnOnce(Request, Operator) -> Fut,
    Fut: Future<Output = EndpointResult>,
{
    let header = req.header("authorization").map(|v| v.last().as_str());
    let operator = req.state().operators.find(header).cloned();
    let method = req.method();
    let path: String = req.url().path().chars().take(MAX_PATH_LOGGED).collect();
    let instance = req.state().ctx.settings.instance.clone();
    let name = operator.as_ref().map(|o| o.name.clone());
    let result = match operator {
        Some(operator) => endpoint(req, operator).await,
        None => Err(ApiError::new(
            Code::Unauthenticated,
            "authorization: allowed: Bearer followed by the token of an operator of this instance",
        )),
    };
    let code = result.as_ref().err().map(|error| error.code.number());
    let name = name.as_ref().map(ToString::to_string);
    // Programs may read the status several times a second, so successful reads are only logged at
    // level debug. Changes and errors are rare.
    if method == Method::Get && code.is_none() {
        debug!(event = "admin_request", %instance, operator = name, %method, path);
    } else {
        info!(event = "admin_request", %instance, operator = name, %method, path, code);
    }
    into_tide_result(result)
}

#[allow(clippy::unnecessary_wraps)] // tide requires this return type of an endpoint.
fn into_tide_result(result: EndpointResult) -> tide::Result {
    Ok(result.unwrap_or_else(ApiError::into_response))
}

/// Adds a JSON body to the error responses that the router itself creates, which are empty.
async fn add_error_body(response: tide::Response) -> tide::Result {
    if response.is_empty() != Some(true) {
        return Ok(response);
    }
    let detail = match response.status() {
        StatusCode::NotFound => "no such path; docs/interfaces.md lists the paths",
        StatusCode::MethodNotAllowed => "the path does not support this method",
        _ => return Ok(response),
    };
    let status = response.status();
    let mut with_body = ApiError::new(Code::BadAdminRequest, detail).into_response();
    with_body.set_status(status);
    Ok(with_body)
}
