//! Proposals: ids, repeats and waiting for the log's decision.

use std::time::Duration;

use model::{Code, Operator, Tenant, Wall, is_valid_id};
use wire::{Body, ConfigAnswer, ProposalAnswer, Record};

use crate::{
    admin::{
        ask::{ask, ask_within},
        problem::Problem,
    },
    context::Context,
    control::AdminRequest,
};

/// Longest wait for the log's decision before the answer is "pending". An append may take 2 s, its
/// batch 100 ms and the read that confirms it 2 s.
const DECISION_LIMIT: Duration = Duration::from_secs(5);

/// Refuses an id that an operator may not choose.
pub fn check_id(id: &str) -> Result<(), Problem> {
    if is_valid_id(id) {
        return Ok(());
    }
    let detail = "id: allowed: 1 to 64 letters, digits, '-', '_' or '.', the first a letter or \
                  digit";
    Err(Problem::new(Code::BadAdminRequest, detail))
}

/// Proposes `body` under the operator's `id` and answers with the decision, or "pending".
pub async fn propose(
    ctx: &Context,
    operator: &Operator,
    id: &str,
    at: Wall,
    body: Body,
) -> Result<ProposalAnswer, Problem> {
    let record = Record {
        id: id.to_owned(),
        author: operator.name.clone(),
        at,
        body,
    };
    record.encode().map_err(|e| {
        let detail = format!("{}; shorten the document", e.detail);
        Problem::new(e.code, detail)
    })?;
    let tenant = operator.tenant.as_ref();
    if let Some(first) = lookup(ctx, tenant, id).await? {
        return repeated(ctx, first, &record.body).await;
    }
    let sent = record.clone();
    let answer = ask_within(ctx, DECISION_LIMIT, |reply| AdminRequest::Propose {
        record: sent,
        reply,
    })
    .await;
    let Some(answer) = answer else {
        return Ok(pending(id));
    };
    if answer.code != Code::Repeated {
        return Ok(answer);
    }
    match lookup(ctx, tenant, id).await? {
        Some(first) => repeated(ctx, first, &record.body).await,
        None => Ok(answer),
    }
}

/// Where the proposal of a tenant, or of a zone for `None`, stands at this instance.
pub async fn lookup(
    ctx: &Context,
    tenant: Option<&Tenant>,
    id: &str,
) -> Result<Option<ProposalAnswer>, Problem> {
    let (tenant, id) = (tenant.cloned(), id.to_owned());
    ask(ctx, |reply| AdminRequest::Lookup { tenant, id, reply }).await
}

/// The answer to a repeat is the first decision, unless the repeat is known to ask for another
/// document.
async fn repeated(
    ctx: &Context,
    first: ProposalAnswer,
    body: &Body,
) -> Result<ProposalAnswer, Problem> {
    let Body::Config { tenant, text, .. } = body else {
        return Ok(first);
    };
    if first.code != Code::Accepted {
        return Ok(first);
    }
    let tenant = tenant.clone();
    let config: ConfigAnswer = ask(ctx, |reply| AdminRequest::Config { tenant, reply }).await?;
    if Some(config.revision) == first.offset && config.text != *text {
        let detail = format!(
            "id: used before for another document, which is in force as revision {}; choose \
             another id",
            config.revision
        );
        return Err(Problem::new(Code::Repeated, detail));
    }
    Ok(first)
}

fn pending(id: &str) -> ProposalAnswer {
    ProposalAnswer {
        id: id.to_owned(),
        code: Code::Pending,
        offset: None,
        detail: "the log has not confirmed the proposal yet; ask for it by its id".to_owned(),
    }
}
