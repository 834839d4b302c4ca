//! Paths and methods, authentication and the log line of each request.

use std::{future::Future, sync::Arc};

use http_types::Method;
use model::{Code, Operator};
use tide::{Server, StatusCode};
use tracing::{debug, info};

use crate::admin::{
    endpoints::{
        Admin, Answer, Request, get_audit, get_config, get_moves, get_proposal, get_status, health,
        post_config, post_zone,
    },
    problem::Problem,
};

/// Longest part of a path in a log line, in characters.
const MAX_PATH_LOGGED: usize = 200;

/// The tide application.
pub fn routes(admin: Arc<Admin>) -> Server<Arc<Admin>> {
    let mut app = tide::with_state(admin);
    app.with(tide::utils::After(fill_error));
    app.at("/v1/health")
        .get(|req: Request| async move { finish(health(&req.state().ctx)) });
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

async fn authenticated<F, Fut>(req: Request, endpoint: F) -> tide::Result
where
    F: FnOnce(Request, Operator) -> Fut,
    Fut: Future<Output = Answer>,
{
    let header = req.header("authorization").map(|v| v.last().as_str());
    let operator = req.state().operators.find(header).cloned();
    let method = req.method();
    let path: String = req.url().path().chars().take(MAX_PATH_LOGGED).collect();
    let instance = req.state().ctx.settings.instance.clone();
    let name = operator.as_ref().map(|o| o.name.clone());
    let answer = match operator {
        Some(operator) => endpoint(req, operator).await,
        None => Err(Problem::new(
            Code::Unauthenticated,
            "authorization: allowed: Bearer and the token of an operator of this instance",
        )),
    };
    let code = answer.as_ref().err().map(|p| p.code.number());
    let name = name.as_ref().map(ToString::to_string);
    // Programs read the status several times a second; changes and refusals are rare.
    if method == Method::Get && code.is_none() {
        debug!(event = "admin_request", %instance, operator = name, %method, path);
    } else {
        info!(event = "admin_request", %instance, operator = name, %method, path, code);
    }
    finish(answer)
}

#[allow(clippy::unnecessary_wraps)] // The signature that tide asks of an endpoint.
fn finish(answer: Answer) -> tide::Result {
    Ok(answer.unwrap_or_else(Problem::response))
}

/// Gives the router's own error answers, which are empty, a body.
async fn fill_error(response: tide::Response) -> tide::Result {
    if response.is_empty() != Some(true) {
        return Ok(response);
    }
    let detail = match response.status() {
        StatusCode::NotFound => "no such path; see docs/interfaces.md",
        StatusCode::MethodNotAllowed => "the path does not support this method",
        _ => return Ok(response),
    };
    let status = response.status();
    let mut filled = Problem::new(Code::BadAdminRequest, detail).response();
    filled.set_status(status);
    Ok(filled)
}
