//! One attempt at a call: an exchange with one target up to the answer's head.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, io};
use futures::{
    AsyncReadExt,
    future::{Either, select},
};
use http_types::{Method, Request, Response, StatusCode, Url};
use model::Code;
use policy::{AttemptEnd, TargetView};

use crate::{
    call::{
        answer::Answer,
        exchange::Exchange,
        head::{Length, body_length},
        headers::{hop_headers, says_close},
        job::Job,
        send_half::{Sending, send},
    },
    tap::{ReadState, Tap},
};

/// Largest body of a refusal that is read to keep its connection.
const MAX_REFUSAL: u64 = 4 * 1024;
/// Time for the body of a refusal. It usually comes with its head.
const REFUSAL_LIMIT: Duration = Duration::from_millis(10);

/// Result of an attempt.
#[derive(Debug)]
pub enum Tried {
    /// The head of an answer arrived.
    Answered(Box<Answer>),
    /// There is no answer. The end was reported.
    Failed(Code),
}

/// Sends the call to `target` and waits for the answer's head.
pub async fn attempt(job: Arc<Job>, target: Arc<TargetView>) -> Tried {
    let mut exchange = Exchange::new(job, target);
    match run(&mut exchange).await {
        Ok((response, length, sending)) => {
            Tried::Answered(Box::new(Answer::new(exchange, response, length, sending)))
        }
        Err(code) => Tried::Failed(code),
    }
}

type Head = (Response, Length, Option<Sending>);

async fn run(exchange: &mut Exchange) -> Result<Head, Code> {
    let job = Arc::clone(&exchange.job);
    if !job.source.is_available() {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    }
    let left_us = job.call.deadline.since_us(job.ctx.clock.now());
    let limit = Duration::from_micros(left_us);
    let addr = exchange.target.addr;
    let Ok(conn) = job.ctx.pools.get(addr, job.idempotent, limit).await else {
        exchange.end(AttemptEnd::ConnectFailed, job.is_retryable(true));
        return Err(Code::ConnectFailed);
    };
    let Some(message) = build(&job, &exchange.target) else {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    };
    let trace = Arc::clone(&exchange.trace);
    let mut sending = send(conn.stream().clone(), trace, message);
    let (tap, seen) = Tap::new(conn.stream().clone());
    exchange.conn = Some(conn);
    exchange.seen = Some(Arc::clone(&seen));
    let mut decoding = Box::pin(async_h1::client::decode(tap));
    let (head, sending) = match select(&mut sending, &mut decoding).await {
        Either::Left(((), _)) => {
            check_sent(exchange)?;
            (decoding.await, None)
        }
        Either::Right((head, _)) => (head, Some(sending)),
    };
    let response = head.map_err(|_| cut(exchange, broken_code(&seen)))?;
    read_head(exchange, response, sending).await
}

/// Judges the end of sending. A connection that broke may still bring an answer that was sent before.
fn check_sent(exchange: &mut Exchange) -> Result<(), Code> {
    let job = &exchange.job;
    if exchange.trace.is_whole() {
        return Ok(());
    }
    if !exchange.trace.is_sent() {
        let retryable = job.is_retryable(true);
        exchange.end(AttemptEnd::ConnectFailed, retryable);
        return Err(Code::ConnectFailed);
    }
    if job.body.has_failed() {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    }
    Ok(())
}

fn broken_code(seen: &ReadState) -> Code {
    if seen.head().is_some() || seen.head_too_large() {
        Code::BadAnswer
    } else {
        Code::UpstreamClosed
    }
}

/// Reports an attempt that may have run and brought no answer that can be used.
fn cut(exchange: &mut Exchange, code: Code) -> Code {
    if exchange.trace.is_sent() {
        exchange.end(AttemptEnd::Cut, exchange.job.is_retryable(false));
        return code;
    }
    exchange.end(AttemptEnd::ConnectFailed, exchange.job.is_retryable(true));
    Code::ConnectFailed
}

async fn read_head(
    exchange: &mut Exchange,
    mut response: Response,
    sending: Option<Sending>,
) -> Result<Head, Code> {
    let is_one = |name: &str| response.header(name).is_some_and(|v| v.as_str() == "1");
    exchange.draining = is_one("hw-draining");
    exchange.cold = is_one("hw-cold");
    let length = check_head(&exchange.job, &response).map_err(|code| cut(exchange, code))?;
    if response.status() != StatusCode::ServiceUnavailable || !is_one("hw-not-run") {
        return Ok((response, length, sending));
    }
    if !exchange.trace.is_sent() {
        // Bytes that arrive before the request left answer no request of this connection.
        return Err(cut(exchange, Code::CrossedAnswer));
    }
    exchange.job.ledger.note_refused();
    let whole = exchange.trace.is_whole();
    if whole && !says_close(response.as_ref()) && is_short(exchange, &mut response, length).await {
        exchange.keep_conn();
    }
    exchange.end(AttemptEnd::Refused, exchange.job.is_retryable(true));
    Err(Code::UpstreamRefused)
}

/// Checks that the head belongs to the call and that the end of its body can be told.
fn check_head(job: &Job, response: &Response) -> Result<Length, Code> {
    if let Some(echo) = response.header("hw-call")
        && echo.iter().any(|v| v.as_str() != job.wire_id)
    {
        return Err(Code::CrossedAnswer);
    }
    let status = response.status();
    if status.is_informational() {
        return Err(Code::BadAnswer);
    }
    let length = body_length(response.as_ref()).map_err(|()| Code::BadAnswer)?;
    let bodiless = [StatusCode::NoContent, StatusCode::NotModified].contains(&status);
    if job.head.method() == Method::Head || bodiless {
        return Ok(Length::Absent);
    }
    // Without a length the answer ends with the connection, and a cut would look like its end.
    if length == Length::Absent {
        return Err(Code::BadAnswer);
    }
    Ok(length)
}

/// Reads the body of a refusal; whether it was short and whole.
async fn is_short(exchange: &Exchange, response: &mut Response, length: Length) -> bool {
    let Length::Bytes(bytes) = length else {
        return false;
    };
    if bytes > MAX_REFUSAL {
        return false;
    }
    let mut body = response.take_body().take(MAX_REFUSAL);
    let mut sink = io::sink();
    let reading = futures::io::copy(&mut body, &mut sink);
    let read = timeout(REFUSAL_LIMIT, reading).await;
    let exact = exchange
        .seen
        .as_ref()
        .is_some_and(|s| s.body_read() == bytes);
    matches!(read, Ok(Ok(count)) if count == bytes) && exact
}

/// The request as the target gets it; `None` if another attempt took the body.
fn build(job: &Job, target: &TargetView) -> Option<Request> {
    let head = &job.head;
    let mut url = Url::parse(&format!("http://{}", target.addr)).ok()?;
    url.set_path(head.url().path());
    url.set_query(head.url().query());
    let mut message = Request::new(head.method(), url);
    message.set_body(job.source.take()?);
    message.remove_header("content-type");
    let mut hop = hop_headers(head.as_ref());
    if !job.has_type {
        hop.insert("content-type".to_owned());
    }
    for (name, values) in head {
        if !hop.contains(name.as_str()) {
            message.insert_header(name, values);
        }
    }
    let left_us = job.call.deadline.since_us(job.ctx.clock.now());
    message.insert_header("hw-call", &job.wire_id);
    message.insert_header("hw-deadline-ms", (left_us / 1_000).to_string());
    let retries = job.call.retries.saturating_sub(1);
    message.insert_header("hw-retry-budget", retries.to_string());
    Some(message)
}
