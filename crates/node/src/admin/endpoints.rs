//! The handlers of the endpoints, one function each. A handler checks the permissions of the operator
//! and the request, sends the request to the control thread, and removes what the operator may not
//! see from the reply.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, io::ReadExt};
use model::{Code, Config, Operator, Tenant, Zone};
use serde::{Deserialize, de::DeserializeOwned};
use tide::{Response, StatusCode};
use wire::{AuditPage, Body, Health, MovesAnswer, ProposalAnswer, PublishRequest, ZoneRequest};

use crate::{
    admin::{
        access::{Operators, may_change_zones, may_publish, may_read},
        api_error::{ApiError, json, status},
        control_request::request_control,
        filter::{visible_entries, visible_status},
        proposals::{check_id, find_proposal, propose},
    },
    clock::Clock,
    context::Context,
    control::AdminRequest,
};

/// Largest request body in bytes. A document of 48 KiB fits even if half of its characters need a
/// two-byte escape.
const MAX_BODY_BYTES: u64 = 128 * 1024;
/// Timeout for reading a whole request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of errors of a document that a response lists.
const MAX_ERRORS_SHOWN: usize = 50;
/// Number of audit entries in a response to a request without `limit`.
const DEFAULT_AUDIT_LIMIT: usize = 100;
/// Maximum value of `limit`, the number of audit entries in a response.
const MAX_AUDIT_LIMIT: usize = 1_000;
/// Maximum number of requests to the control thread for one page of the audit trail. It keeps a trail
/// with many entries of other tenants from occupying the control thread for long.
const MAX_AUDIT_READS: usize = 8;

/// State that all endpoints share.
#[derive(Debug)]
pub struct AdminState {
    /// Settings and state of the instance, and the channel to its control thread.
    pub ctx: Arc<Context>,
    /// Operators that may use the API.
    pub operators: Operators,
}

/// An HTTP request with the state that all endpoints share.
pub type Request = tide::Request<Arc<AdminState>>;
/// The response of an endpoint, or the error to respond with.
pub type EndpointResult = Result<Response, ApiError>;

/// Handles `GET /v1/health`, the only endpoint without authentication.
pub fn health(ctx: &Context) -> EndpointResult {
    let snapshot = ctx.snapshot.load();
    if !snapshot.ready {
        let detail = "no configuration received yet, neither from the log service nor from a peer";
        return Err(ApiError::new(Code::NotReady, detail));
    }
    let health = Health {
        instance: ctx.settings.instance.clone(),
        offset: snapshot.offset,
    };
    Ok(json(StatusCode::Ok, &health))
}

/// Handles `GET /v1/config/{tenant}`: returns the document in force.
pub async fn get_config(req: Request, operator: Operator) -> EndpointResult {
    let tenant = tenant_param(&req)?;
    if !may_read(&operator, Some(&tenant)) {
        return Err(forbidden("read the configuration of this tenant"));
    }
    let ctx = &req.state().ctx;
    let config = request_control(ctx, |reply| AdminRequest::Config { tenant, reply }).await?;
    Ok(json(StatusCode::Ok, &config))
}

/// Handles `POST /v1/config/{tenant}`: proposes a new document.
pub async fn post_config(mut req: Request, operator: Operator) -> EndpointResult {
    let tenant = tenant_param(&req)?;
    if !may_publish(&operator, &tenant) {
        return Err(forbidden("publish the configuration of this tenant"));
    }
    let request: PublishRequest = read_json(&mut req).await?;
    check_id(&request.id)?;
    check_document(&tenant, &request.text)?;
    let body = Body::Config {
        tenant,
        base: request.base,
        text: request.text,
    };
    let ctx = &req.state().ctx;
    let answer = propose(ctx, &operator, &request.id, Clock::wall(), body).await?;
    Ok(proposal_response(&answer))
}

/// Handles `POST /v1/zones/{zone}`: proposes to take a zone out of service or back.
pub async fn post_zone(mut req: Request, operator: Operator) -> EndpointResult {
    if !may_change_zones(&operator) {
        return Err(forbidden("take availability zones out or back"));
    }
    let zone = Zone::new(&path_param(&req, "zone")?);
    let request: ZoneRequest = read_json(&mut req).await?;
    check_id(&request.id)?;
    let ctx = &req.state().ctx;
    if request.out {
        check_zone(ctx, &zone).await?;
    }
    let body = Body::Zone {
        zone,
        base: request.base,
        out: request.out,
    };
    let answer = propose(ctx, &operator, &request.id, Clock::wall(), body).await?;
    Ok(proposal_response(&answer))
}

/// Handles `GET /v1/proposals/{id}` and `GET /v1/proposals/{tenant}/{id}`. Without a tenant in the
/// path, looks among the proposals of the operator's own tenant, or of the platform.
pub async fn get_proposal(req: Request, operator: Operator) -> EndpointResult {
    let id = path_param(&req, "id")?;
    let tenant = match req.param("tenant") {
        Ok(_) => Some(tenant_param(&req)?),
        Err(_) => operator.tenant.clone(),
    };
    if !may_read(&operator, tenant.as_ref()) {
        return Err(forbidden("read proposals of this tenant"));
    }
    let found = find_proposal(&req.state().ctx, tenant.as_ref(), &id).await?;
    let Some(found) = found else {
        let detail =
            format!("proposal {id}: neither received by this instance nor read from the log");
        return Err(ApiError::new(Code::UnknownProposal, detail));
    };
    Ok(json(StatusCode::Ok, &found))
}

/// Handles `GET /v1/status`: returns the part of the status that the operator may see.
pub async fn get_status(req: Request, operator: Operator) -> EndpointResult {
    let reply = request_control(&req.state().ctx, |reply| AdminRequest::Status { reply }).await?;
    Ok(json(StatusCode::Ok, &visible_status(&operator, reply)))
}

/// Handles `GET /v1/moves`: returns the version moves that the operator may see.
pub async fn get_moves(req: Request, operator: Operator) -> EndpointResult {
    let reply = request_control(&req.state().ctx, |reply| AdminRequest::Status { reply }).await?;
    let moves = visible_status(&operator, reply).moves;
    Ok(json(StatusCode::Ok, &MovesAnswer { moves }))
}

/// Query parameters of `GET /v1/audit`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    /// Smallest offset to return.
    from: Option<u64>,
    /// Maximum number of entries.
    limit: Option<usize>,
}

/// Handles `GET /v1/audit`: returns a page of the audit trail.
pub async fn get_audit(req: Request, operator: Operator) -> EndpointResult {
    let query: AuditQuery = req.query().map_err(|_| {
        let detail = "query: allowed: from and limit, both whole numbers";
        ApiError::new(Code::BadAdminRequest, detail)
    })?;
    let limit = query.limit.unwrap_or(DEFAULT_AUDIT_LIMIT);
    if !(1..=MAX_AUDIT_LIMIT).contains(&limit) {
        let detail = format!("limit: got {limit}; allowed: 1 to {MAX_AUDIT_LIMIT}");
        return Err(ApiError::new(Code::BadAdminRequest, detail));
    }
    let from = query.from.unwrap_or(0);
    let page = read_audit(&req.state().ctx, &operator, from, limit).await?;
    Ok(json(StatusCode::Ok, &page))
}

/// Reads a page of up to `limit` entries that the operator may see, from offset `from` on. The page may
/// hold fewer entries although the trail goes on; its `next` tells the client where to continue.
async fn read_audit(
    ctx: &Context,
    operator: &Operator,
    from: u64,
    limit: usize,
) -> Result<AuditPage, ApiError> {
    let mut page = AuditPage {
        entries: Vec::new(),
        next: Some(from),
    };
    for _ in 0..MAX_AUDIT_READS {
        let Some(from) = page.next else {
            break;
        };
        let missing = limit - page.entries.len();
        if missing == 0 {
            break;
        }
        let batch = request_control(ctx, |reply| AdminRequest::Audit {
            from,
            limit: missing,
            reply,
        })
        .await?;
        let is_end = batch.len() < missing;
        let next = batch.last().map(|entry| entry.offset.saturating_add(1));
        page.next = if is_end { None } else { next };
        page.entries.extend(visible_entries(operator, batch));
    }
    Ok(page)
}

fn proposal_response(answer: &ProposalAnswer) -> Response {
    json(status(answer.code), answer)
}

fn forbidden(action: &str) -> ApiError {
    ApiError::new(Code::Forbidden, format!("the operator may not {action}"))
}

/// Returns the path parameter `name`, which must be a valid identifier.
fn path_param(req: &Request, name: &str) -> Result<String, ApiError> {
    let text = req.param(name).unwrap_or_default();
    if model::is_valid_id(text) {
        return Ok(text.to_owned());
    }
    let detail = format!("{name}: allowed: 1 to 64 letters, digits, '-', '_' or '.'");
    Err(ApiError::new(Code::BadAdminRequest, detail))
}

fn tenant_param(req: &Request) -> Result<Tenant, ApiError> {
    Ok(Tenant::new(&path_param(req, "tenant")?))
}

/// Reads the request body within the limits of size and time, and parses it as JSON.
async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let mut body = Vec::new();
    let mut reader = req.take_body().take(MAX_BODY_BYTES + 1);
    match timeout(BODY_TIMEOUT, reader.read_to_end(&mut body)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            let detail = format!("body: cannot be read: {error}");
            return Err(ApiError::new(Code::BadAdminRequest, detail));
        }
        Err(_) => {
            let detail = format!("body: not complete after {} s", BODY_TIMEOUT.as_secs());
            return Err(ApiError::new(Code::SlowSender, detail));
        }
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        let detail = format!("body: allowed: at most {MAX_BODY_BYTES} bytes of JSON");
        return Err(ApiError::new(Code::TooLarge, detail));
    }
    serde_json::from_slice(&body)
        .map_err(|e| ApiError::new(Code::BadAdminRequest, format!("body: {e}")))
}

/// Checks a configuration document. If it is invalid, returns an error with the code of the document's
/// first error and one line of detail for each error.
fn check_document(tenant: &Tenant, text: &str) -> Result<(), ApiError> {
    let Err(errors) = Config::parse(tenant.as_str(), text) else {
        return Ok(());
    };
    let code = errors.first().map_or(Code::Invalid, |e| e.code);
    let mut lines: Vec<String> = errors
        .iter()
        .take(MAX_ERRORS_SHOWN)
        .map(ToString::to_string)
        .collect();
    if errors.len() > MAX_ERRORS_SHOWN {
        lines.push(format!("and {} more", errors.len() - MAX_ERRORS_SHOWN));
    }
    Err(ApiError::new(code, lines.join("\n")))
}

/// Rejects a zone that no entry of the instance list names, which is probably misspelt. Accepts any
/// zone before the instance has read its first list.
async fn check_zone(ctx: &Context, zone: &Zone) -> Result<(), ApiError> {
    let known = request_control(ctx, |reply| AdminRequest::Status { reply })
        .await?
        .zones;
    if known.is_empty() || known.contains(zone) {
        return Ok(());
    }
    let names: Vec<&str> = known.iter().map(Zone::as_str).collect();
    let detail = format!("zone: got {zone}; allowed: {}", names.join(", "));
    Err(ApiError::new(Code::Invalid, detail))
}
