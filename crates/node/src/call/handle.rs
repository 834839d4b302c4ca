//! Processes one call from its request head until the head of its response is available.

use std::{net::SocketAddr, sync::Arc};

use async_std::net::TcpStream;
use futures::{
    FutureExt, StreamExt, future::BoxFuture, pin_mut, select_biased, stream::FuturesUnordered,
};
use http_types::{Request, Response};
use model::{Class, ClassName, Code, Outcome, ServiceName, Time};
use policy::TargetView;
use tracing::warn;
use wire::KeyState;

use crate::{
    Token,
    call::{
        active_call::{ActiveCall, CallParts},
        attempt::{AttemptResult, attempt},
        body::{BodyState, RequestBody, Source},
        exchange::Exchange,
        keys::{Claim, KeyGuard, claim},
        ledger::{Failure, conclude},
        registration::Registration,
        request::{key_of, parse_call, service_name},
        response::{refusal, repeated},
        supervise::{Limits, StopReason, supervise},
        upstream_response::UpstreamResponse,
    },
    context::Context,
    dispatch::Reply,
};

/// Delay after which a caller should retry if the instance cannot accept calls, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// The caller's connection, and properties of its request that the parsed head does not contain.
#[derive(Debug)]
pub struct Caller<'a> {
    /// Connection to the caller.
    pub stream: &'a TcpStream,
    /// Whether the request has a `content-type` header.
    pub has_type: bool,
    /// Address of the caller.
    pub peer: Option<SocketAddr>,
    /// Token that cancels the work on the connection.
    pub cancel: &'a Token,
}

/// The response to a caller, with the data that writing and recording it need.
#[derive(Debug)]
pub struct CallResponse {
    /// Head and body of the response.
    pub response: Response,
    /// Result code of the call.
    pub code: Code,
    /// Time at which the response must be written completely.
    pub deadline: Option<Time>,
    /// State of the request body, if it is still being forwarded to the upstream.
    pub body: Option<Arc<BodyState>>,
    /// Service and class of the call, or `None` if the request was refused before they were known.
    pub class: Option<(ServiceName, ClassName)>,
    /// The call, if an upstream's response is forwarded to its caller.
    pub active_call: Option<Arc<ActiveCall>>,
}

impl CallResponse {
    /// Creates a response that the instance made itself, without an upstream.
    pub const fn local(response: Response, code: Code) -> Self {
        Self {
            response,
            code,
            deadline: None,
            body: None,
            class: None,
            active_call: None,
        }
    }

    fn refused(code: Code, retry_ms: u32) -> Self {
        Self::local(refusal(code, retry_ms), code)
    }

    /// Records that the response did not reach its caller completely.
    pub fn record_cut(&mut self) {
        if let Some(active_call) = self.active_call.take() {
            self.code = active_call.cut_code();
            warn!(event = "answer_cut", instance = %active_call.ctx.settings.instance,
                call = %active_call.wire_id,
                code = self.code.number());
        }
    }

    /// Returns the duration of the attempt whose response was forwarded, in microseconds.
    pub fn service_us(&self) -> Option<u64> {
        self.active_call
            .as_ref()
            .map(|active_call| active_call.service_us())
    }
}

/// Processes a call until the head of its response is available.
pub async fn handle_call(
    ctx: &Arc<Context>,
    caller: &Caller<'_>,
    req: Request,
    body: RequestBody,
) -> CallResponse {
    let (class, call) = match prepare(ctx, caller, &req) {
        Ok(prepared) => prepared,
        Err((code, retry_ms)) => return CallResponse::refused(code, retry_ms),
    };
    let service_class = (class.service, class.class.name.clone());
    let deadline = call.deadline;
    let state = Arc::clone(body.state());
    let limits = Limits {
        clock: ctx.clock,
        ticks: &ctx.ticks,
        deadline,
        caller: caller.stream,
        body: Some(Arc::clone(&state)),
        cancel: caller.cancel,
    };
    let mut call_response = match read_source(&limits, body).await {
        Ok(source) => {
            let mut call = call;
            // The tolerated delay covers the time in the instance's queue. It excludes the time that
            // the caller takes to send its body.
            call.arrived = ctx.clock.now();
            call.bytes = source.bytes();
            call.replayable = source.is_replayable();
            let parts = CallParts {
                policy_call: call,
                idempotent: class.class.idempotent,
                head: req,
                has_type: caller.has_type,
                source,
                body: state,
                dispatcher: class.dispatcher,
            };
            run_call(
                &limits,
                &service_class,
                Arc::new(ActiveCall::new(ctx, parts)),
            )
            .await
        }
        Err(code) => CallResponse::refused(code, 0),
    };
    call_response.deadline = call_response.active_call.is_some().then_some(deadline);
    call_response.class = Some(service_class);
    call_response
}

/// The service and class that a request names, with the service's dispatcher.
struct ServiceClass {
    service: ServiceName,
    class: Class,
    dispatcher: async_std::channel::Sender<crate::dispatch::DispatchMsg>,
}

/// Parses the head of a call and looks up its service. The error is a result code and a retry delay
/// in milliseconds.
fn prepare(
    ctx: &Context,
    caller: &Caller<'_>,
    req: &Request,
) -> Result<(ServiceClass, policy::Call), (Code, u32)> {
    let snapshot = ctx.snapshot.load();
    if !snapshot.can_serve() {
        return Err((Code::NotReady, RETRY_AFTER_MS));
    }
    let name = service_name(req).ok_or((Code::BadHeader, 0))?;
    let service = snapshot.services.get(&name);
    let service = service.ok_or((Code::UnknownService, 0))?;
    let call = parse_call(ctx, req, service, caller.peer).map_err(|code| (code, 0))?;
    let dispatcher = ctx.dispatchers.load().get(&name).cloned();
    let dispatcher = dispatcher.ok_or((Code::NotReady, RETRY_AFTER_MS))?;
    let class = service.view.classes[call.class].clone();
    let service_class = ServiceClass {
        service: name,
        class,
        dispatcher,
    };
    Ok((service_class, call))
}

/// Reads a small body into memory before the call is registered with its dispatcher.
async fn read_source(limits: &Limits<'_>, body: RequestBody) -> Result<Source, Code> {
    match supervise(limits, Source::read(body)).await {
        Ok(Ok(source)) => Ok(source),
        Ok(Err(_)) => Err(Code::BadRequest),
        Err(StopReason::Deadline | StopReason::SlowSender) => Err(Code::SlowSender),
        Err(StopReason::CallerGone) => Err(Code::CancelledEarly),
        Err(StopReason::Ended) => Err(Code::NotReady),
    }
}

async fn run_call(
    limits: &Limits<'_>,
    service_class: &(ServiceName, ClassName),
    active_call: Arc<ActiveCall>,
) -> CallResponse {
    let key = match claim_key(service_class, &active_call).await {
        Ok(key) => key,
        Err(Claim::Repeated(state)) => {
            let mut call_response = CallResponse::refused(Code::RepeatedKey, 0);
            call_response.response = repeated(state);
            return call_response;
        }
        Err(_) => return CallResponse::refused(Code::KeyUnchecked, RETRY_AFTER_MS),
    };
    let Some(registration) = Registration::register(&active_call) else {
        release(key, Outcome::NotRun);
        return CallResponse::refused(Code::NotReady, RETRY_AFTER_MS);
    };
    let mut run = CallRun {
        attempts: FuturesUnordered::new(),
        registration,
        unknown_code: None,
        last_failure: (Code::NoTarget, 0),
    };
    let ended = supervise(limits, run_attempts(&active_call, &mut run)).await;
    let unknown_code = run.unknown_code;
    let (code, retry_ms, unknown_code) = match ended {
        Ok(Ok(response)) => {
            run.registration.released = true;
            drop(run);
            return served(active_call, *response, key);
        }
        Ok(Err((code, retry_ms))) => (code, retry_ms, unknown_code),
        Err(StopReason::Deadline) => (Code::DeadlinePassed, 0, Some(Code::UpstreamTimeout)),
        Err(StopReason::CallerGone) => (Code::CancelledEarly, 0, Some(Code::CallerGone)),
        Err(StopReason::SlowSender) => (Code::SlowSender, 0, Some(Code::BodyFailed)),
        Err(StopReason::Ended) => (Code::NotReady, RETRY_AFTER_MS, unknown_code),
    };
    // Drops all attempts first, so that none sends a byte after the outcome was decided.
    drop(run);
    failed(
        &active_call,
        conclude(&active_call.ledger, code, retry_ms, unknown_code),
        key,
    )
}

/// Claims the idempotency key of a non-idempotent call, if the request has one.
async fn claim_key(
    (service, class): &(ServiceName, ClassName),
    active_call: &ActiveCall,
) -> Result<Option<KeyGuard>, Claim> {
    let key = key_of(&active_call.head).filter(|_| !active_call.idempotent);
    let Some(key) = key else {
        return Ok(None);
    };
    match claim(&active_call.ctx, &format!("{service}/{class}/{key}")).await {
        Claim::New(guard) => Ok(Some(guard)),
        other => Err(other),
    }
}

/// Records the outcome of the call that claimed `key`.
fn release(key: Option<KeyGuard>, outcome: Outcome) {
    let Some(key) = key else {
        return;
    };
    match outcome {
        Outcome::NotRun => key.end(KeyState::Fresh),
        Outcome::Served => key.end(KeyState::Done),
        Outcome::Unknown => key.end(KeyState::Unknown),
    }
}

fn served(
    active_call: Arc<ActiveCall>,
    response: UpstreamResponse,
    key: Option<KeyGuard>,
) -> CallResponse {
    let body = response.is_sending().then(|| Arc::clone(&active_call.body));
    CallResponse {
        response: response.into_response(key),
        code: Code::Served,
        deadline: None,
        body,
        class: None,
        active_call: Some(active_call),
    }
}

/// Reports an invariant violation if `failure` says that the call was not run although an upstream
/// may have run it.
pub(super) fn check_not_run(active_call: &ActiveCall, failure: Failure) {
    if failure.outcome() == Outcome::NotRun && active_call.ledger.may_have_run() {
        active_call
            .ctx
            .violation(Code::FalseNotRun, &active_call.wire_id);
    }
}

fn failed(active_call: &ActiveCall, failure: Failure, key: Option<KeyGuard>) -> CallResponse {
    check_not_run(active_call, failure);
    if failure.outcome() == Outcome::Unknown {
        warn!(event = "call_outcome_unknown", instance = %active_call.ctx.settings.instance,
            call = %active_call.wire_id,
            code = failure.code().number(),
            sent = active_call.ledger.sent());
    }
    release(key, failure.outcome());
    CallResponse::refused(failure.code(), failure.retry_ms())
}

/// State of a call from its registration with the dispatcher until the head of its response
/// arrives.
struct CallRun {
    attempts: FuturesUnordered<BoxFuture<'static, AttemptResult>>,
    registration: Registration,
    /// Result code of the last failed attempt that an upstream may have run.
    unknown_code: Option<Code>,
    /// Result code and retry delay in milliseconds of the last failure.
    last_failure: (Code, u32),
}

/// The next event of a call: an attempt ended, or the dispatcher replied. A reply of [`None`]
/// means that the dispatcher has ended.
enum CallEvent {
    AttemptEnded(AttemptResult),
    Replied(Option<Reply>),
}

async fn next_event(run: &mut CallRun) -> CallEvent {
    let CallRun {
        attempts,
        registration,
        ..
    } = run;
    let reply = async {
        if registration.released {
            futures::future::pending().await
        } else {
            registration.next().await
        }
    };
    let reply = reply.fuse();
    pin_mut!(reply);
    select_biased! {
        result = attempts.select_next_some() => CallEvent::AttemptEnded(result),
        reply = reply => CallEvent::Replied(reply),
    }
}

/// Follows the dispatcher's replies until a response arrives, or until no attempt is running and none
/// can follow. Returns the first response; dropping `run` cancels the other attempts.
async fn run_attempts(
    active_call: &Arc<ActiveCall>,
    run: &mut CallRun,
) -> Result<Box<UpstreamResponse>, (Code, u32)> {
    while !run.registration.released || !run.attempts.is_empty() {
        match next_event(run).await {
            CallEvent::AttemptEnded(AttemptResult::Responded(response)) => return Ok(response),
            CallEvent::AttemptEnded(AttemptResult::Failed(code)) => record_failure(run, code),
            CallEvent::Replied(Some(Reply::Start(target))) => {
                start_attempt(active_call, run, target);
            }
            CallEvent::Replied(Some(Reply::Refuse { code, retry_ms })) => {
                give_up(run, (code, retry_ms));
            }
            CallEvent::Replied(Some(Reply::GiveUp)) => run.registration.released = true,
            CallEvent::Replied(None) => give_up(run, (Code::NotReady, RETRY_AFTER_MS)),
        }
    }
    Err(run.last_failure)
}

/// Records the failure of a call for which the dispatcher will start no further attempt.
fn give_up(run: &mut CallRun, failure: (Code, u32)) {
    run.last_failure = failure;
    run.registration.released = true;
}

/// Records the failure of one attempt.
fn record_failure(run: &mut CallRun, code: Code) {
    if code.outcome() == Outcome::Unknown {
        run.unknown_code = Some(code);
    }
    run.last_failure = (code, 0);
}

/// Starts an attempt at `target`. If a non-idempotent call could run twice because of it, reports the
/// attempt as cancelled instead.
fn start_attempt(active_call: &Arc<ActiveCall>, run: &mut CallRun, target: Arc<TargetView>) {
    let may_run_twice = active_call.ledger.may_have_run() || !run.attempts.is_empty();
    if may_run_twice && !active_call.idempotent {
        warn!(event = "start_rejected", call = %active_call.wire_id, target = %target.id);
        Exchange::new(Arc::clone(active_call), target).end(policy::AttemptEnd::Cancelled, false);
        return;
    }
    run.attempts
        .push(attempt(Arc::clone(active_call), target).boxed());
}

#[cfg(test)]
mod tests;
