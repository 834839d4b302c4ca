//! Runs one attempt of a call: sends the request to one target and waits for the response's head.

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
        active_call::ActiveCall,
        exchange::Exchange,
        head::{Length, body_length},
        headers::{hop_headers, says_close},
        send_half::{Sending, send},
        upstream_response::UpstreamResponse,
    },
    pool::Conn,
    tap::{ReadState, Tap},
};

/// Largest body of a refusal that is read so that its connection can be reused, in bytes.
const MAX_REFUSAL_BYTES: u64 = 4 * 1024;
/// Time limit for reading the body of a refusal. The body usually arrives together with the head.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(10);

/// Result of waiting for the head of an attempt's response.
#[derive(Debug)]
pub enum AttemptResult {
    /// The head of a response arrived.
    Responded(Box<UpstreamResponse>),
    /// The attempt failed, and its end was reported to the dispatcher.
    Failed(Code),
}

/// Sends the call to `target` and waits for the response's head.
pub async fn attempt(active_call: Arc<ActiveCall>, target: Arc<TargetView>) -> AttemptResult {
    let mut exchange = Exchange::new(active_call, target);
    match run(&mut exchange).await {
        Ok((response, length, sending)) => AttemptResult::Responded(Box::new(
            UpstreamResponse::new(exchange, response, length, sending),
        )),
        Err(code) => AttemptResult::Failed(code),
    }
}

type ResponseHead = (Response, Length, Option<Sending>);

/// Connects to the target, sends the request and returns the head of the response. On failure,
/// reports the end of the attempt and returns its result code.
async fn run(exchange: &mut Exchange) -> Result<ResponseHead, Code> {
    let active_call = Arc::clone(&exchange.active_call);
    if !active_call.source.is_available() {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    }
    let remaining_us = active_call
        .policy_call
        .deadline
        .since_us(active_call.ctx.clock.now());
    let limit = Duration::from_micros(remaining_us);
    let addr = exchange.target.addr;
    let Ok(conn) = active_call
        .ctx
        .pools
        .get(addr, active_call.idempotent, limit)
        .await
    else {
        exchange.end(AttemptEnd::ConnectFailed, active_call.is_retryable(true));
        return Err(Code::ConnectFailed);
    };
    let Some(message) = build_request(&active_call, &exchange.target) else {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    };
    let send_state = Arc::clone(&exchange.send_state);
    let mut sending = send(conn.stream().clone(), send_state, message);
    let (tap, read_state) = Tap::new(conn.stream().clone());
    exchange.conn = Some(conn);
    exchange.read_state = Some(Arc::clone(&read_state));
    let mut decoding = Box::pin(async_h1::client::decode(tap));
    let (head, sending) = match select(&mut sending, &mut decoding).await {
        Either::Left(((), _)) => {
            check_request_sent(exchange)?;
            (decoding.await, None)
        }
        Either::Right((head, _)) => (head, Some(sending)),
    };
    let response =
        head.map_err(|_| fail_without_response(exchange, undecodable_code(&read_state)))?;
    process_head(exchange, response, sending).await
}

/// Handles the end of sending. Returns `Ok` also if the connection broke after the first byte: the
/// upstream may have sent its response before.
fn check_request_sent(exchange: &mut Exchange) -> Result<(), Code> {
    let active_call = &exchange.active_call;
    if exchange.send_state.is_complete() {
        return Ok(());
    }
    if !exchange.send_state.is_sent() {
        let retryable = active_call.is_retryable(true);
        exchange.end(AttemptEnd::ConnectFailed, retryable);
        return Err(Code::ConnectFailed);
    }
    if active_call.body.has_failed() {
        exchange.end(AttemptEnd::Cancelled, false);
        return Err(Code::BodyFailed);
    }
    Ok(())
}

/// Returns the result code for a response whose head could not be decoded.
fn undecodable_code(read_state: &ReadState) -> Code {
    if read_state.head().is_some() || read_state.head_too_large() {
        Code::BadAnswer
    } else {
        Code::UpstreamClosed
    }
}

/// Reports the end of an attempt without a usable response, and returns its result code. If no byte
/// was sent, the attempt is reported as a failed connection.
fn fail_without_response(exchange: &mut Exchange, code: Code) -> Code {
    if exchange.send_state.is_sent() {
        exchange.end(AttemptEnd::Cut, exchange.active_call.is_retryable(false));
        return code;
    }
    exchange.end(
        AttemptEnd::ConnectFailed,
        exchange.active_call.is_retryable(true),
    );
    Code::ConnectFailed
}

/// Checks the head of a response. A refusal (status 503 with `hw-not-run: 1`) ends the attempt.
async fn process_head(
    exchange: &mut Exchange,
    mut response: Response,
    sending: Option<Sending>,
) -> Result<ResponseHead, Code> {
    let is_one = |name: &str| response.header(name).is_some_and(|v| v.as_str() == "1");
    exchange.draining = is_one("hw-draining");
    exchange.cold = is_one("hw-cold");
    let length = check_head(&exchange.active_call, &response)
        .map_err(|code| fail_without_response(exchange, code))?;
    if response.status() != StatusCode::ServiceUnavailable || !is_one("hw-not-run") {
        return Ok((response, length, sending));
    }
    if !exchange.send_state.is_sent() {
        // A response that arrives before the request was sent belongs to no request of this
        // connection.
        return Err(fail_without_response(exchange, Code::CrossedAnswer));
    }
    let is_reused = exchange.conn.as_ref().is_some_and(Conn::is_reused);
    if is_reused && response.header("hw-call").is_none() {
        // It may be an earlier refusal, written once more.
        return Err(fail_without_response(exchange, Code::CrossedAnswer));
    }
    exchange.active_call.ledger.record_refused();
    let complete = exchange.send_state.is_complete();
    if complete
        && !says_close(response.as_ref())
        && drain_refusal(exchange, &mut response, length).await
    {
        exchange.keep_conn();
    }
    exchange.end(AttemptEnd::Refused, exchange.active_call.is_retryable(true));
    Err(Code::UpstreamRefused)
}

/// Checks that the head belongs to the call, and returns the length of the body. Rejects a response
/// without a stated length, because its end could not be detected.
fn check_head(active_call: &ActiveCall, response: &Response) -> Result<Length, Code> {
    if let Some(echo) = response.header("hw-call")
        && echo.iter().any(|v| v.as_str() != active_call.wire_id)
    {
        return Err(Code::CrossedAnswer);
    }
    let status = response.status();
    if status.is_informational() {
        return Err(Code::BadAnswer);
    }
    let length = body_length(response.as_ref()).map_err(|()| Code::BadAnswer)?;
    let bodiless = [StatusCode::NoContent, StatusCode::NotModified].contains(&status);
    if active_call.head.method() == Method::Head || bodiless {
        return Ok(Length::Absent);
    }
    // A body without a stated length ends when the connection closes, so a lost connection could
    // not be distinguished from a complete body.
    if length == Length::Absent {
        return Err(Code::BadAnswer);
    }
    Ok(length)
}

/// Reads the body of a refusal. Returns whether it was short and arrived completely, so that the
/// connection can be reused.
async fn drain_refusal(exchange: &Exchange, response: &mut Response, length: Length) -> bool {
    let Length::Bytes(bytes) = length else {
        return false;
    };
    if bytes > MAX_REFUSAL_BYTES {
        return false;
    }
    let mut body = response.take_body().take(MAX_REFUSAL_BYTES);
    let mut sink = io::sink();
    let reading = futures::io::copy(&mut body, &mut sink);
    let read = timeout(REFUSAL_TIMEOUT, reading).await;
    let exact = exchange
        .read_state
        .as_ref()
        .is_some_and(|s| s.body_read() == bytes);
    matches!(read, Ok(Ok(count)) if count == bytes) && exact
}

/// Builds the request to the target. Returns `None` if another attempt took the body.
fn build_request(active_call: &ActiveCall, target: &TargetView) -> Option<Request> {
    let head = &active_call.head;
    let mut url = Url::parse(&format!("http://{}", target.addr)).ok()?;
    url.set_path(head.url().path());
    url.set_query(head.url().query());
    let mut message = Request::new(head.method(), url);
    message.set_body(active_call.source.take()?);
    message.remove_header("content-type");
    let mut hop = hop_headers(head.as_ref());
    if !active_call.has_type {
        hop.insert("content-type".to_owned());
    }
    for (name, values) in head {
        if !hop.contains(name.as_str()) {
            message.insert_header(name, values);
        }
    }
    let remaining_us = active_call
        .policy_call
        .deadline
        .since_us(active_call.ctx.clock.now());
    message.insert_header("hw-call", &active_call.wire_id);
    message.insert_header("hw-deadline-ms", (remaining_us / 1_000).to_string());
    let retries = active_call.policy_call.retries.saturating_sub(1);
    message.insert_header("hw-retry-budget", retries.to_string());
    Some(message)
}
