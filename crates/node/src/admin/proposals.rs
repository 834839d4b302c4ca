//! Submission of proposals: the check of ids, the handling of repeated ids, and the wait for the
//! decision.

use std::time::Duration;

use model::{Code, Operator, Tenant, Wall, is_valid_id};
use wire::{Body, ConfigAnswer, ProposalAnswer, Record};

use crate::{
    admin::{
        api_error::ApiError,
        control_request::{request_control, request_control_within},
    },
    context::Context,
    control::AdminRequest,
};

/// Longest wait for the decision on a proposal; after it the response is [`Code::Pending`]. Collecting
/// the batch may take 100 ms, the append to the log 2 s, and the read that confirms it 2 s.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// Rejects a proposal id with characters or a length that are not allowed.
pub fn check_id(id: &str) -> Result<(), ApiError> {
    if is_valid_id(id) {
        return Ok(());
    }
    let detail = "id: allowed: 1 to 64 letters, digits, '-', '_' or '.', the first a letter or \
                  digit";
    Err(ApiError::new(Code::BadAdminRequest, detail))
}

/// Proposes `body` under the operator's `id` and returns the decision, or [`Code::Pending`] if there is
/// none in time. For an id that was used before, returns the first decision.
pub async fn propose(
    ctx: &Context,
    operator: &Operator,
    id: &str,
    at: Wall,
    body: Body,
) -> Result<ProposalAnswer, ApiError> {
    let record = Record {
        id: id.to_owned(),
        author: operator.name.clone(),
        at,
        body,
    };
    record.encode().map_err(|error| {
        let detail = format!("{}; shorten the document", error.detail);
        ApiError::new(error.code, detail)
    })?;
    let tenant = operator.tenant.as_ref();
    if let Some(first) = find_proposal(ctx, tenant, id).await? {
        return answer_repeat(ctx, first, &record.body).await;
    }
    let sent = record.clone();
    let answer = request_control_within(ctx, DECISION_TIMEOUT, |reply| AdminRequest::Propose {
        record: sent,
        reply,
    })
    .await;
    let Some(answer) = answer else {
        return Ok(pending_answer(id));
    };
    if answer.code != Code::Repeated {
        return Ok(answer);
    }
    match find_proposal(ctx, tenant, id).await? {
        Some(first) => answer_repeat(ctx, first, &record.body).await,
        None => Ok(answer),
    }
}

/// Returns the state of a proposal as this instance knows it, or `None` if it knows no such proposal.
/// `tenant` is the tenant whose document the proposal changes, or `None` for the change of a zone.
pub async fn find_proposal(
    ctx: &Context,
    tenant: Option<&Tenant>,
    id: &str,
) -> Result<Option<ProposalAnswer>, ApiError> {
    let (tenant, id) = (tenant.cloned(), id.to_owned());
    request_control(ctx, |reply| AdminRequest::Lookup { tenant, id, reply }).await
}

/// Returns the decision on the first proposal with the same id. Returns an error if the document of
/// that proposal is still in force and differs from the repeated one.
async fn answer_repeat(
    ctx: &Context,
    first: ProposalAnswer,
    body: &Body,
) -> Result<ProposalAnswer, ApiError> {
    let Body::Config { tenant, text, .. } = body else {
        return Ok(first);
    };
    if first.code != Code::Accepted {
        return Ok(first);
    }
    let tenant = tenant.clone();
    let config: ConfigAnswer =
        request_control(ctx, |reply| AdminRequest::Config { tenant, reply }).await?;
    if Some(config.revision) == first.offset && config.text != *text {
        let detail = format!(
            "id: already used for another document, which is in force as revision {}; choose \
             another id",
            config.revision
        );
        return Err(ApiError::new(Code::Repeated, detail));
    }
    Ok(first)
}

fn pending_answer(id: &str) -> ProposalAnswer {
    ProposalAnswer {
        id: id.to_owned(),
        code: Code::Pending,
        offset: None,
        detail: "the log has not confirmed the proposal yet; query it by its id".to_owned(),
    }
}
