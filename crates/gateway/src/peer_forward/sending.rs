//! Sends a request through another instance.

use std::{net::SocketAddr, rc::Rc};

use h1::{Response, write_headers};
use model::{Code, Outcome, Time};
use platform::headers;
use rand::Rng;
use tracing::info;

use super::{Reply, RequestFrame};
use crate::{
    attempt::{push_length_and_body, push_request_line, separate_body},
    exchange::{EncodedRequest, Identity, ResponseError, SendResult, exchange},
    line_class::REQUESTS,
    notices::record_notices,
    refusal::Refusal,
    request::ArrivedRequest,
    state::State,
};

/// Time beyond the deadline of a request for which the other instance is awaited, in milliseconds. It
/// answers at the deadline itself.
const ANSWER_MS: u64 = 50;

/// Result of sending a request through another instance.
pub enum PeerResult {
    /// A target has answered.
    Response(Box<Response>),
    /// The request has ended at the other instance.
    Ended(Refusal),
    /// The other instance has not taken the request. A third one may.
    NotTaken,
    /// No complete response arrived; the request may have run.
    Lost(ResponseError),
}

/// Returns a ready instance to forward a request through that says it is in contact with targets and is not
/// in `tried`, by its address for other instances.
pub fn choose_peer(state: &State, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let members = state.members.borrow();
    let ready = members.ready().into_iter().filter(|m| m.has_targets);
    let candidates: Vec<SocketAddr> = ready
        .map(|m| m.peer_addr)
        .filter(|addr| !tried.contains(addr))
        .collect();
    let mut rng = rand::rng();
    let draws = [rng.random(), rng.random()];
    let choice = state.peer_choice.borrow();
    choice.choose(&candidates, state.now(), draws)
}

/// Sends `request` through the instance at `addr` and waits for the result until `deadline`.
pub async fn send_via_peer(
    state: &Rc<State>,
    request: &ArrivedRequest,
    frame: RequestFrame,
    addr: SocketAddr,
    deadline: Time,
) -> PeerResult {
    let _in_flight = InFlight::begin(state, addr);
    let message = &*request.message;
    let id = message.headers.single_value(headers::REQUEST_ID);
    info!(target: REQUESTS, event = "forwarded", id = id.unwrap_or("-"), peer = %addr,
        attempts = frame.attempts, waited_ms = frame.waited_ms);
    state.metrics.count("forwarded", 1);
    let mut head = frame.encode();
    push_request_line(&mut head, message);
    write_headers(&mut head, message.headers.end_to_end());
    push_length_and_body(&mut head, message);
    let encoded = EncodedRequest {
        method: &message.method,
        identity: id.map_or(Identity::Anonymous, Identity::Request),
        head: &head,
        body: separate_body(message),
        held: Some(&request.held),
        target: None,
    };
    let limit = deadline.plus_ms(ANSWER_MS);
    let result = exchange(state, addr, encoded, limit, async || true).await;
    let result = classify(state, result);
    if matches!(result, PeerResult::NotTaken) {
        state.metrics.count("forwards_not_taken", 1);
        state.peer_choice.borrow_mut().avoid(addr, state.now());
    }
    result
}

/// Returns what the response of another instance means. Records what a target says of itself in it.
pub(super) fn classify(state: &Rc<State>, result: SendResult) -> PeerResult {
    let response = match result {
        SendResult::Response(response) => response,
        SendResult::NotSent(_) | SendResult::NoRoom => return PeerResult::NotTaken,
        SendResult::NoResponse(error) => return PeerResult::Lost(error),
    };
    match Reply::of(&response) {
        Some(Reply::Target { id, born }) => {
            record_notices(state, &id, born, &response, "response");
            PeerResult::Response(response)
        }
        Some(Reply::Refused(code)) if may_be_taken_elsewhere(code) => PeerResult::NotTaken,
        Some(Reply::Refused(code)) => PeerResult::Ended(Refusal {
            retry_ms: retry_ms(&response),
            ..code.into()
        }),
        None => PeerResult::Lost(ResponseError::Closed),
    }
}

/// Whether an instance that refuses a request with `code` lacks something that others may have.
fn may_be_taken_elsewhere(code: Code) -> bool {
    let is_own = matches!(
        code,
        Code::CutOff
            | Code::ConnectFailed
            | Code::NotReady
            | Code::Stopping
            | Code::RouteUnsure
            | Code::AccessUnsure
            | Code::NoRoom
    );
    is_own && code.outcome() == Outcome::NotRun
}

/// Returns the time after which the caller may retry, in milliseconds, if the response states one.
fn retry_ms(response: &Response) -> Option<u32> {
    let value = response.headers.single_value("retry-after")?;
    let (seconds, millis) = value.split_once('.')?;
    let (seconds, millis): (u32, u32) = (seconds.parse().ok()?, millis.parse().ok()?);
    seconds.checked_mul(1_000)?.checked_add(millis)
}

/// Counts a request as forwarded through an instance until dropped.
struct InFlight {
    state: Rc<State>,
    addr: SocketAddr,
}

impl InFlight {
    fn begin(state: &Rc<State>, addr: SocketAddr) -> Self {
        state.peer_choice.borrow_mut().begin(addr);
        Self {
            state: Rc::clone(state),
            addr,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.peer_choice.borrow_mut().end(self.addr);
    }
}
