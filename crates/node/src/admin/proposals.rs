//! Proposals: ids, repeats and waiting for the log's decision.

use std::time::Duration;

use model::{Code, Operator, Tenant, Wall, is_valid_id};
use wire::{Body, ConfigAnswer, ProposalAnswer, Record};

use crate::{
    admin::{
        access::may_read,
        ask::{ask, ask_within},
        problem::Problem,
    },
    context::Context,
    control::{AdminRequest, Proposal},
};

/// Longest wait for the log's decision before the answer is "pending". An append may take 2 s, its
/// batch 100 ms and the read that confirms it 2 s.
const DECISION_LIMIT: Duration = Duration::from_secs(5);

/// Record id of an operator's proposal: `tenant/id`, or `id` for role platform. Tenants therefore
/// cannot use up or find out each other's ids.
pub fn record_id(tenant: Option<&Tenant>, id: &str) -> String {
    tenant.map_or_else(|| id.to_owned(), |tenant| format!("{tenant}/{id}"))
}

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
        id: record_id(operator.tenant.as_ref(), id),
        author: operator.name.clone(),
        at,
        body,
    };
    record.encode().map_err(|e| {
        let detail = format!("{}; shorten the document", e.detail);
        Problem::new(e.code, detail)
    })?;
    let record_id = record.id.clone();
    if let Some(first) = lookup(ctx, &record_id).await? {
        return repeated(ctx, operator, id, first, &record.body).await;
    }
    let answer = ask_within(ctx, DECISION_LIMIT, |reply| AdminRequest::Propose {
        record: record.clone(),
        reply,
    })
    .await;
    match answer {
        None => Ok(pending(id)),
        Some(answer) if answer.code == Code::Repeated => match lookup(ctx, &record_id).await? {
            Some(first) => repeated(ctx, operator, id, first, &record.body).await,
            None => Ok(with_id(answer, id)),
        },
        Some(answer) => Ok(with_id(answer, id)),
    }
}

/// The proposal with a record id, if this instance knows it.
pub async fn lookup(ctx: &Context, record_id: &str) -> Result<Option<Proposal>, Problem> {
    let id = record_id.to_owned();
    ask(ctx, |reply| AdminRequest::Lookup { id, reply }).await
}

/// The answer to a repeat is the first decision, unless the repeat is known to ask for another
/// document.
async fn repeated(
    ctx: &Context,
    operator: &Operator,
    id: &str,
    first: Proposal,
    body: &Body,
) -> Result<ProposalAnswer, Problem> {
    if !may_read(operator, first.tenant.as_ref()) {
        return Err(Problem::new(
            Code::Repeated,
            "id: used before; choose another",
        ));
    }
    if let Body::Config { tenant, text, .. } = body
        && first.answer.code == Code::Accepted
    {
        let tenant = tenant.clone();
        let config: ConfigAnswer = ask(ctx, |reply| AdminRequest::Config { tenant, reply }).await?;
        if Some(config.revision) == first.answer.offset && config.text != *text {
            let detail = format!(
                "id: used before for another document, which is in force as revision {}; choose \
                 another id",
                config.revision
            );
            return Err(Problem::new(Code::Repeated, detail));
        }
    }
    Ok(with_id(first.answer, id))
}

fn pending(id: &str) -> ProposalAnswer {
    ProposalAnswer {
        id: id.to_owned(),
        code: Code::Pending,
        offset: None,
        detail: "the log has not confirmed the proposal yet; ask for it by its id".to_owned(),
    }
}

/// The answer under the id that the operator used.
pub fn with_id(answer: ProposalAnswer, id: &str) -> ProposalAnswer {
    ProposalAnswer {
        id: id.to_owned(),
        ..answer
    }
}
