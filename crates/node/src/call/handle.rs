//! Carries one call from its request head to the head of its answer.

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
        answer::Answer,
        attempt::{Tried, attempt},
        body::{BodyState, RequestBody, Source},
        exchange::Exchange,
        job::{Job, Parts},
        keys::{Claim, KeyGuard, claim},
        ledger::{Failure, conclude},
        request::{key_of, parse_call, service_name},
        response::{refusal, repeated},
        seat::Seat,
        supervise::{Limits, Stop, supervise},
    },
    context::Context,
    dispatch::Reply,
};

/// Advice to callers of an instance that cannot take calls now, in milliseconds.
const RETRY_MS: u32 = 1_000;

/// Who sent a request.
#[derive(Debug)]
pub struct Caller<'a> {
    /// Its connection.
    pub stream: &'a TcpStream,
    /// Whether its request has a content type.
    pub has_type: bool,
    /// Its address.
    pub peer: Option<SocketAddr>,
    /// Token of the connection.
    pub cancel: &'a Token,
}

/// What is sent to the caller, and what is known of the call.
#[derive(Debug)]
pub struct Answered {
    /// Head and body.
    pub response: Response,
    /// Result.
    pub code: Code,
    /// When the answer must have been passed on.
    pub deadline: Option<Time>,
    /// Request body that is still being passed on.
    pub body: Option<Arc<BodyState>>,
    /// Service and class, if they exist.
    pub class: Option<(ServiceName, ClassName)>,
    /// The call, if it was served.
    pub job: Option<Arc<Job>>,
}

impl Answered {
    /// A response that no upstream was asked for.
    pub const fn local(response: Response, code: Code) -> Self {
        Self {
            response,
            code,
            deadline: None,
            body: None,
            class: None,
            job: None,
        }
    }

    fn refused(code: Code, retry_ms: u32) -> Self {
        Self::local(refusal(code, retry_ms), code)
    }

    /// The answer did not reach its caller as a whole.
    pub fn note_cut(&mut self) {
        if let Some(job) = self.job.take() {
            self.code = job.cut_code();
            warn!(event = "answer_cut", instance = %job.ctx.settings.instance,
                call = %job.wire_id,
                code = self.code.number());
        }
    }

    /// Time that the served attempt took, in microseconds.
    pub fn service_us(&self) -> Option<u64> {
        self.job.as_ref().map(|job| job.service_us())
    }
}

/// Runs a call up to the head of its answer.
pub async fn handle_call(
    ctx: &Arc<Context>,
    caller: &Caller<'_>,
    req: Request,
    body: RequestBody,
) -> Answered {
    let (class, call) = match prepare(ctx, caller, &req) {
        Ok(prepared) => prepared,
        Err((code, retry_ms)) => return Answered::refused(code, retry_ms),
    };
    let named = (class.service, class.class.name.clone());
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
    let mut answered = match hold(&limits, body).await {
        Ok(source) => {
            let mut call = call;
            // The allowed delay is for waiting at the instance, not for the caller's sending.
            call.arrived = ctx.clock.now();
            call.bytes = source.bytes();
            call.replayable = source.is_replayable();
            let parts = Parts {
                call,
                idempotent: class.class.idempotent,
                head: req,
                has_type: caller.has_type,
                source,
                body: state,
                dispatcher: class.dispatcher,
            };
            run_call(&limits, &named, Arc::new(Job::new(ctx, parts))).await
        }
        Err(code) => Answered::refused(code, 0),
    };
    answered.deadline = answered.job.is_some().then_some(deadline);
    answered.class = Some(named);
    answered
}

struct Named {
    service: ServiceName,
    class: Class,
    dispatcher: async_std::channel::Sender<crate::dispatch::DispatchMsg>,
}

fn prepare(
    ctx: &Context,
    caller: &Caller<'_>,
    req: &Request,
) -> Result<(Named, policy::Call), (Code, u32)> {
    let snapshot = ctx.snapshot.load();
    if !snapshot.can_serve() {
        return Err((Code::NotReady, RETRY_MS));
    }
    let name = service_name(req).ok_or((Code::BadHeader, 0))?;
    let service = snapshot.services.get(&name);
    let service = service.ok_or((Code::UnknownService, 0))?;
    let call = parse_call(ctx, req, service, caller.peer).map_err(|code| (code, 0))?;
    let dispatcher = ctx.dispatchers.load().get(&name).cloned();
    let dispatcher = dispatcher.ok_or((Code::NotReady, RETRY_MS))?;
    let class = service.view.classes[call.class].clone();
    let named = Named {
        service: name,
        class,
        dispatcher,
    };
    Ok((named, call))
}

/// Reads a small body into memory before the call is announced.
async fn hold(limits: &Limits<'_>, body: RequestBody) -> Result<Source, Code> {
    match supervise(limits, Source::read(body)).await {
        Ok(Ok(source)) => Ok(source),
        Ok(Err(_)) => Err(Code::BadRequest),
        Err(Stop::Deadline | Stop::SlowSender) => Err(Code::SlowSender),
        Err(Stop::CallerGone) => Err(Code::CancelledEarly),
        Err(Stop::Ended) => Err(Code::NotReady),
    }
}

async fn run_call(
    limits: &Limits<'_>,
    named: &(ServiceName, ClassName),
    job: Arc<Job>,
) -> Answered {
    let key = match claim_key(named, &job).await {
        Ok(key) => key,
        Err(Claim::Repeated(state)) => {
            let mut answered = Answered::refused(Code::RepeatedKey, 0);
            answered.response = repeated(state);
            return answered;
        }
        Err(_) => return Answered::refused(Code::KeyUnchecked, RETRY_MS),
    };
    let Some(seat) = Seat::take(&job) else {
        release(key, Outcome::NotRun);
        return Answered::refused(Code::NotReady, RETRY_MS);
    };
    let mut run = Run {
        attempts: FuturesUnordered::new(),
        seat,
        unknown: None,
        last: (Code::NoTarget, 0),
    };
    let ended = supervise(limits, drive(&job, &mut run)).await;
    let unknown = run.unknown;
    let (code, retry_ms, unknown) = match ended {
        Ok(Ok(answer)) => {
            run.seat.known = true;
            drop(run);
            return served(job, *answer, key);
        }
        Ok(Err((code, retry_ms))) => (code, retry_ms, unknown),
        Err(Stop::Deadline) => (Code::DeadlinePassed, 0, Some(Code::UpstreamTimeout)),
        Err(Stop::CallerGone) => (Code::CancelledEarly, 0, Some(Code::CallerGone)),
        Err(Stop::SlowSender) => (Code::SlowSender, 0, Some(Code::BodyFailed)),
        Err(Stop::Ended) => (Code::NotReady, RETRY_MS, unknown),
    };
    // Attempts end before the conclusion, so that no further byte leaves after it.
    drop(run);
    failed(&job, conclude(&job.ledger, code, retry_ms, unknown), key)
}

async fn claim_key(
    (service, class): &(ServiceName, ClassName),
    job: &Job,
) -> Result<Option<KeyGuard>, Claim> {
    let key = key_of(&job.head).filter(|_| !job.idempotent);
    let Some(key) = key else {
        return Ok(None);
    };
    match claim(&job.ctx, &format!("{service}/{class}/{key}")).await {
        Claim::New(guard) => Ok(Some(guard)),
        other => Err(other),
    }
}

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

fn served(job: Arc<Job>, answer: Answer, key: Option<KeyGuard>) -> Answered {
    let body = answer.is_sending().then(|| Arc::clone(&job.body));
    Answered {
        response: answer.into_response(key),
        code: Code::Served,
        deadline: None,
        body,
        class: None,
        job: Some(job),
    }
}

/// Checks that a call which an upstream may have run is not reported as not run.
pub(super) fn check_not_run(job: &Job, failure: Failure) {
    if failure.outcome() == Outcome::NotRun && job.ledger.may_have_run() {
        job.ctx.violation(Code::FalseNotRun, &job.wire_id);
    }
}

fn failed(job: &Job, failure: Failure, key: Option<KeyGuard>) -> Answered {
    check_not_run(job, failure);
    if failure.outcome() == Outcome::Unknown {
        warn!(event = "call_outcome_unknown", instance = %job.ctx.settings.instance,
            call = %job.wire_id,
            code = failure.code().number(),
            sent = job.ledger.sent());
    }
    release(key, failure.outcome());
    Answered::refused(failure.code(), failure.retry_ms())
}

/// A call between its announcement and the head of its answer.
struct Run {
    attempts: FuturesUnordered<BoxFuture<'static, Tried>>,
    seat: Seat,
    /// Code of the last attempt that may have run.
    unknown: Option<Code>,
    last: (Code, u32),
}

/// What happens next to a call.
enum Step {
    Tried(Tried),
    Told(Option<Reply>),
}

async fn next_step(run: &mut Run) -> Step {
    let Run { attempts, seat, .. } = run;
    let reply = async {
        if seat.known {
            futures::future::pending().await
        } else {
            seat.next().await
        }
    };
    let reply = reply.fuse();
    pin_mut!(reply);
    select_biased! {
        tried = attempts.select_next_some() => Step::Tried(tried),
        reply = reply => Step::Told(reply),
    }
}

/// Does what the dispatcher says until an answer arrives or no attempt is left. The first answer
/// wins; other attempts end with `run`.
async fn drive(job: &Arc<Job>, run: &mut Run) -> Result<Box<Answer>, (Code, u32)> {
    while !run.seat.known || !run.attempts.is_empty() {
        match next_step(run).await {
            Step::Tried(Tried::Answered(answer)) => return Ok(answer),
            Step::Tried(Tried::Failed(code)) => note_failed(run, code),
            Step::Told(Some(Reply::Start(target))) => start(job, run, target),
            Step::Told(Some(Reply::Refuse { code, retry_ms })) => give_up(run, (code, retry_ms)),
            Step::Told(Some(Reply::GiveUp)) => run.seat.known = true,
            Step::Told(None) => give_up(run, (Code::NotReady, RETRY_MS)),
        }
    }
    Err(run.last)
}

fn give_up(run: &mut Run, last: (Code, u32)) {
    run.last = last;
    run.seat.known = true;
}

fn note_failed(run: &mut Run, code: Code) {
    if code.outcome() == Outcome::Unknown {
        run.unknown = Some(code);
    }
    run.last = (code, 0);
}

/// Starts an attempt, unless the call could run twice by it.
fn start(job: &Arc<Job>, run: &mut Run, target: Arc<TargetView>) {
    let again = job.ledger.may_have_run() || !run.attempts.is_empty();
    if again && !job.idempotent {
        warn!(event = "start_rejected", call = %job.wire_id, target = %target.id);
        Exchange::new(Arc::clone(job), target).end(policy::AttemptEnd::Cancelled, false);
        return;
    }
    run.attempts.push(attempt(Arc::clone(job), target).boxed());
}

#[cfg(test)]
mod tests;
