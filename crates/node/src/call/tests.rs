//! Tests that the invariant checks on the call path report violations. Each test bypasses the code that
//! normally prevents the violation.

use std::sync::Arc;

use async_std::{channel::unbounded, task};
use http_types::{Body, Method, Request, Response, StatusCode};
use model::{Code, Time};
use policy::{Call, CallId};

use super::{
    active_call::{ActiveCall, CallParts},
    body::Source,
    exchange::Exchange,
    handle::check_not_run,
    ledger::{Ledger, conclude},
    upstream_response::UpstreamResponse,
    *,
};
use crate::{
    context::Context,
    fixtures::{context, target},
};

async fn active_call(ctx: &Arc<Context>) -> Arc<ActiveCall> {
    let body = RequestBody::new(ctx.clock, Body::empty(), Length::Absent);
    let state = Arc::clone(body.state());
    let (dispatcher, _) = unbounded();
    let parts = CallParts {
        policy_call: Call {
            id: CallId(1),
            class: 0,
            caller: 0,
            bytes: 0,
            arrived: Time(0),
            deadline: Time::MAX,
            replayable: true,
            retries: 0,
        },
        idempotent: false,
        has_type: false,
        head: Request::new(Method::Post, "http://a/confirm"),
        source: Source::read(body).await.unwrap(),
        body: state,
        dispatcher,
    };
    Arc::new(ActiveCall::new(ctx, parts))
}

fn exchange(active_call: &Arc<ActiveCall>) -> Exchange {
    Exchange::new(Arc::clone(active_call), Arc::new(target()))
}

#[test]
#[should_panic(expected = "9005")]
fn answer_of_another_call() {
    task::block_on(async {
        let active_call = active_call(&context("")).await;
        let mut head = Response::new(StatusCode::Ok);
        head.insert_header("hw-call", "i-1/1/999");
        UpstreamResponse::new(exchange(&active_call), head, Length::Absent, None)
            .into_response(None);
    });
}

#[test]
#[should_panic(expected = "9006")]
fn not_run_after_a_byte_left() {
    task::block_on(async {
        let active_call = active_call(&context("")).await;
        let failure = conclude(&Ledger::default(), Code::CannotMeet, 0, None);
        active_call.ledger.record_sent();
        check_not_run(&active_call, failure);
    });
}

#[test]
#[should_panic(expected = "9007")]
fn non_idempotent_call_sent_twice() {
    task::block_on(async {
        let active_call = active_call(&context("")).await;
        exchange(&active_call).send_state.record_sent();
        exchange(&active_call).send_state.record_sent();
    });
}
