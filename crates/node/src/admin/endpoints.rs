//! One function for each endpoint.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, io::ReadExt};
use model::{Code, Config, Operator, Tenant, Zone};
use serde::{Deserialize, de::DeserializeOwned};
use tide::{Response, StatusCode};
use wire::{AuditPage, Body, Health, MovesAnswer, ProposalAnswer, PublishRequest, ZoneRequest};

use crate::{
    admin::{
        access::{Operators, may_change_zones, may_publish, may_read},
        ask::ask,
        filter::{visible_entries, visible_status},
        problem::{Problem, json, status},
        proposals::{check_id, lookup, propose},
    },
    clock::Clock,
    context::Context,
    control::AdminRequest,
};

/// Largest request body in bytes. A document of 48 KiB fits even if half of its characters need a
/// two-byte escape.
const MAX_BODY_BYTES: u64 = 128 * 1024;
/// Time for a whole request body to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// Most errors of one document that an answer shows.
const MAX_ERRORS_SHOWN: usize = 50;
/// Entries of the audit trail in an answer that asks for no number.
const DEFAULT_AUDIT_LIMIT: usize = 100;
/// Most entries of the audit trail in an answer.
const MAX_AUDIT_LIMIT: usize = 1_000;
/// Most parts of the trail read for one answer, so that a trail full of other tenants' entries does
/// not keep the control thread busy.
const MAX_AUDIT_READS: usize = 8;

/// What the endpoints share.
#[derive(Debug)]
pub struct Admin {
    /// The instance.
    pub ctx: Arc<Context>,
    /// Who may ask.
    pub operators: Operators,
}

/// A request with its shared state.
pub type Request = tide::Request<Arc<Admin>>;
/// The answer to a request.
pub type Answer = Result<Response, Problem>;

/// `GET /v1/health`; the only endpoint without authentication.
pub fn health(ctx: &Context) -> Answer {
    let snapshot = ctx.snapshot.load();
    if !snapshot.ready {
        let detail = "neither the log service nor a peer has given a configuration yet";
        return Err(Problem::new(Code::NotReady, detail));
    }
    let health = Health {
        instance: ctx.settings.instance.clone(),
        offset: snapshot.offset,
    };
    Ok(json(StatusCode::Ok, &health))
}

/// `GET /v1/config/{tenant}`.
pub async fn get_config(req: Request, operator: Operator) -> Answer {
    let tenant = tenant_param(&req)?;
    if !may_read(&operator, Some(&tenant)) {
        return Err(forbidden("read the configuration of this tenant"));
    }
    let ctx = &req.state().ctx;
    let config = ask(ctx, |reply| AdminRequest::Config { tenant, reply }).await?;
    Ok(json(StatusCode::Ok, &config))
}

/// `POST /v1/config/{tenant}`.
pub async fn post_config(mut req: Request, operator: Operator) -> Answer {
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
    Ok(proposal(&answer))
}

/// `POST /v1/zones/{zone}`.
pub async fn post_zone(mut req: Request, operator: Operator) -> Answer {
    if !may_change_zones(&operator) {
        return Err(forbidden("take availability zones out or back"));
    }
    let zone = Zone::new(&param(&req, "zone")?);
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
    Ok(proposal(&answer))
}

/// `GET /v1/proposals/{id}` and `GET /v1/proposals/{tenant}/{id}`.
pub async fn get_proposal(req: Request, operator: Operator) -> Answer {
    let id = param(&req, "id")?;
    let tenant = match req.param("tenant") {
        Ok(_) => Some(tenant_param(&req)?),
        Err(_) => operator.tenant.clone(),
    };
    if !may_read(&operator, tenant.as_ref()) {
        return Err(forbidden("read proposals of this tenant"));
    }
    let found = lookup(&req.state().ctx, tenant.as_ref(), &id).await?;
    let Some(found) = found else {
        let detail = format!("{id}: neither taken by this instance nor read from the log");
        return Err(Problem::new(Code::UnknownProposal, detail));
    };
    Ok(json(StatusCode::Ok, &found))
}

/// `GET /v1/status`.
pub async fn get_status(req: Request, operator: Operator) -> Answer {
    let reply = ask(&req.state().ctx, |reply| AdminRequest::Status { reply }).await?;
    Ok(json(StatusCode::Ok, &visible_status(&operator, reply)))
}

/// `GET /v1/moves`.
pub async fn get_moves(req: Request, operator: Operator) -> Answer {
    let reply = ask(&req.state().ctx, |reply| AdminRequest::Status { reply }).await?;
    let moves = visible_status(&operator, reply).moves;
    Ok(json(StatusCode::Ok, &MovesAnswer { moves }))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    from: Option<u64>,
    limit: Option<usize>,
}

/// `GET /v1/audit`.
pub async fn get_audit(req: Request, operator: Operator) -> Answer {
    let query: AuditQuery = req.query().map_err(|_| {
        let detail = "query: allowed: from and limit, both whole numbers";
        Problem::new(Code::BadAdminRequest, detail)
    })?;
    let limit = query.limit.unwrap_or(DEFAULT_AUDIT_LIMIT);
    if !(1..=MAX_AUDIT_LIMIT).contains(&limit) {
        let detail = format!("limit: got {limit}; allowed: 1 to {MAX_AUDIT_LIMIT}");
        return Err(Problem::new(Code::BadAdminRequest, detail));
    }
    let from = query.from.unwrap_or(0);
    let page = read_audit(&req.state().ctx, &operator, from, limit).await?;
    Ok(json(StatusCode::Ok, &page))
}

async fn read_audit(
    ctx: &Context,
    operator: &Operator,
    from: u64,
    limit: usize,
) -> Result<AuditPage, Problem> {
    let mut page = AuditPage {
        entries: Vec::new(),
        next: Some(from),
    };
    for _ in 0..MAX_AUDIT_READS {
        let Some(from) = page.next else {
            break;
        };
        let wanted = limit - page.entries.len();
        if wanted == 0 {
            break;
        }
        let part = ask(ctx, |reply| AdminRequest::Audit {
            from,
            limit: wanted,
            reply,
        })
        .await?;
        let ended = part.len() < wanted;
        let last = part.last().map(|e| e.offset.saturating_add(1));
        page.next = if ended { None } else { last };
        page.entries.extend(visible_entries(operator, part));
    }
    Ok(page)
}

fn proposal(answer: &ProposalAnswer) -> Response {
    json(status(answer.code), answer)
}

fn forbidden(what: &str) -> Problem {
    Problem::new(Code::Forbidden, format!("the operator may not {what}"))
}

fn param(req: &Request, name: &str) -> Result<String, Problem> {
    let text = req.param(name).unwrap_or_default();
    if model::is_valid_id(text) {
        return Ok(text.to_owned());
    }
    let detail = format!("{name}: allowed: 1 to 64 letters, digits, '-', '_' or '.'");
    Err(Problem::new(Code::BadAdminRequest, detail))
}

fn tenant_param(req: &Request) -> Result<Tenant, Problem> {
    Ok(Tenant::new(&param(req, "tenant")?))
}

async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Problem> {
    let mut body = Vec::new();
    let mut reader = req.take_body().take(MAX_BODY_BYTES + 1);
    match timeout(BODY_LIMIT, reader.read_to_end(&mut body)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            let detail = format!("body: cannot be read: {error}");
            return Err(Problem::new(Code::BadAdminRequest, detail));
        }
        Err(_) => {
            let detail = format!("body: not complete after {} s", BODY_LIMIT.as_secs());
            return Err(Problem::new(Code::SlowSender, detail));
        }
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        let detail = format!("body: allowed: at most {MAX_BODY_BYTES} bytes of JSON");
        return Err(Problem::new(Code::TooLarge, detail));
    }
    serde_json::from_slice(&body)
        .map_err(|e| Problem::new(Code::BadAdminRequest, format!("body: {e}")))
}

/// Checks a whole document. The answer's code is that of the first error; its detail has one line
/// for each error.
fn check_document(tenant: &Tenant, text: &str) -> Result<(), Problem> {
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
    Err(Problem::new(code, lines.join("\n")))
}

/// Refuses to take out a zone that no list entry names: most likely a misspelt one.
async fn check_zone(ctx: &Context, zone: &Zone) -> Result<(), Problem> {
    let known = ask(ctx, |reply| AdminRequest::Status { reply })
        .await?
        .zones;
    if known.is_empty() || known.contains(zone) {
        return Ok(());
    }
    let names: Vec<&str> = known.iter().map(Zone::as_str).collect();
    let detail = format!("zone: got {zone}; allowed: {}", names.join(", "));
    Err(Problem::new(Code::Invalid, detail))
}
