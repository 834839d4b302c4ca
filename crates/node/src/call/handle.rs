//! Carries one call from its request head to the answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::channel::{Receiver, Sender, unbounded};
use http_types::{Request, Response};
use model::{Code, TargetId};
use policy::{Call, CallId, End, Event, Report, TargetView};

use crate::{
    Token,
    call::{
        attempt::{Answer, attempt},
        request::{parse_call, service_name},
        response::{mark, refusal},
    },
    context::Context,
    dispatch::{DispatchMsg, Reply},
};

/// Tells the dispatcher that the call is gone unless it ended before.
struct Guard {
    call: CallId,
    dispatcher: Sender<DispatchMsg>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let event = Event::Cancel { call: self.call };
        let _ = self.dispatcher.try_send(DispatchMsg::Event(event));
    }
}

/// Runs a call and returns the response for the caller.
pub async fn handle_call(
    ctx: &Arc<Context>,
    cancel: &Token,
    req: Request,
    peer: Option<SocketAddr>,
) -> Response {
    match run_call(ctx, cancel, req, peer).await {
        Ok(response) => response,
        Err((code, retry_ms)) => refusal(code, retry_ms),
    }
}

async fn run_call(
    ctx: &Arc<Context>,
    cancel: &Token,
    req: Request,
    peer: Option<SocketAddr>,
) -> Result<Response, (Code, u32)> {
    let snapshot = ctx.snapshot.load_full();
    if !snapshot.ready {
        return Err((Code::NotReady, 1_000));
    }
    let name = service_name(&req).ok_or((Code::BadHeader, 0))?;
    let service = snapshot
        .services
        .get(&name)
        .ok_or((Code::UnknownService, 0))?;
    let call = parse_call(ctx, &req, service, peer).map_err(|code| (code, 0))?;
    let dispatcher = ctx.dispatchers.load().get(&name).cloned();
    let dispatcher = dispatcher.ok_or((Code::NotReady, 1_000))?;
    let (sender, replies) = unbounded();
    let guard = Guard {
        call: call.id,
        dispatcher,
    };
    let arrive = DispatchMsg::Arrive(call.clone(), sender);
    guard
        .dispatcher
        .try_send(arrive)
        .map_err(|_| (Code::NotReady, 1_000))?;
    let target = wait_start(&replies).await?;
    serve(ctx, cancel, &call, &guard, &target, req).await
}

async fn wait_start(replies: &Receiver<Reply>) -> Result<Arc<TargetView>, (Code, u32)> {
    match replies.recv().await {
        Ok(Reply::Start(target)) => Ok(target),
        Ok(Reply::Refuse { code, retry_ms }) => Err((code, retry_ms)),
        Ok(Reply::GiveUp) | Err(_) => Err((Code::NoTarget, 0)),
    }
}

async fn serve(
    ctx: &Arc<Context>,
    cancel: &Token,
    call: &Call,
    guard: &Guard,
    target: &Arc<TargetView>,
    req: Request,
) -> Result<Response, (Code, u32)> {
    let started = ctx.clock.now();
    let limit = Duration::from_micros(call.deadline.since_us(started));
    let answer = attempt(ctx, cancel, call.id, target, req, limit).await;
    let finish = |end| {
        let service_us = ctx.clock.now().since_us(started);
        let report = Report {
            end,
            service_us,
            retryable: false,
            draining: false,
            cold: false,
        };
        send_finish(guard, call.id, &target.id, report);
    };
    match answer {
        Ok(answer) => {
            let response = read_answer(ctx, target, answer).await;
            finish(if response.is_ok() {
                End::Good
            } else {
                End::Cut
            });
            response
        }
        Err(end) => {
            finish(end);
            Err((code_of(end), 0))
        }
    }
}

async fn read_answer(
    ctx: &Context,
    target: &TargetView,
    mut answer: Answer,
) -> Result<Response, (Code, u32)> {
    let body = answer.response.take_body();
    let announced = body.len();
    let bytes = body
        .into_bytes()
        .await
        .map_err(|_| (Code::UpstreamClosed, 0))?;
    if announced.is_some_and(|len| len != bytes.len()) {
        return Err((Code::ShortBody, 0));
    }
    let close = answer
        .response
        .header("connection")
        .is_some_and(|v| v.as_str() == "close");
    if !close {
        ctx.pools.put(target.addr, answer.stream);
    }
    let mut response = answer.response;
    response.set_body(bytes);
    response.remove_header("transfer-encoding");
    mark(&mut response, Code::Served);
    Ok(response)
}

fn send_finish(guard: &Guard, call: CallId, target: &TargetId, report: Report) {
    let event = Event::Finish {
        call,
        target: target.clone(),
        report,
    };
    let _ = guard.dispatcher.try_send(DispatchMsg::Event(event));
}

fn code_of(end: End) -> Code {
    match end {
        End::Refused => Code::UpstreamRefused,
        End::ConnectFailed => Code::ConnectFailed,
        End::Timeout => Code::UpstreamTimeout,
        End::Cancelled => Code::CallerGone,
        End::Good | End::Error | End::Cut => Code::UpstreamClosed,
    }
}
