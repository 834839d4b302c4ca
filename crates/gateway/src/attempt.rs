//! One attempt: a request sent to one target.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use balance::Route;
use futures::{FutureExt, future::LocalBoxFuture};
use h1::{BodyBytes, Request, write_headers};
use model::{ServiceName, TargetId, Time};
use platform::headers;

use crate::{
    crash_check::has_crashed,
    crashes::{SentRequest, record_crash, record_run},
    entries_wait::await_recent_entries,
    exchange::{EncodedRequest, Identity, ResponseError, SendResult, exchange},
    notices::record_notices,
    pending_outcome::PendingOutcome,
    selection::{SelectedTarget, is_target_eligible},
    send_limits::SendLimits,
    state::State,
    usage::BegunGuard,
    workspaces::{Caller, WorkspaceRequest, is_withheld},
};

/// Largest body, in bytes, that is copied behind the head, so that both fit into one segment or a few.
const MAX_JOINED: usize = 16 * 1_024;

/// A request that was sent to one target and whose result is pending.
pub struct Attempt {
    /// Target of the attempt.
    pub selected: SelectedTarget,
    /// Time at which the attempt started.
    pub started: Time,
    future: LocalBoxFuture<'static, SendResult>,
    pending: Option<PendingOutcome>,
    /// Whether the target closed the connection without a response.
    is_closed: Rc<Cell<bool>>,
}

impl Attempt {
    /// Sends `request` to `selected`. The attempt times out at `deadline`.
    pub fn start(
        state: &Rc<State>,
        service: &ServiceName,
        route: &Route,
        request: WorkspaceRequest<'_>,
        selected: SelectedTarget,
        deadline: Time,
    ) -> Self {
        let started = state.now();
        let WorkspaceRequest {
            request,
            caller,
            hash,
        } = request;
        let left_ms = deadline.since_us(started) / 1_000;
        let head_bytes = encode(&request.message, caller, &selected, left_ms);
        let guard = InFlightGuard::start(state, &selected, service);
        let pending = PendingOutcome::begin(state, service, route, &selected);
        let state = Rc::clone(state);
        let workspace = caller.workspace().cloned();
        let held = Rc::clone(&request.held);
        let request = Rc::clone(&request.message);
        let id = request
            .headers
            .single_value(headers::REQUEST_ID)
            .map(str::to_owned);
        let (addr, target, born) = (selected.addr, selected.id.clone(), selected.born);
        let is_closed = Rc::new(Cell::new(false));
        let closed = Rc::clone(&is_closed);
        let future = async move {
            let _guard = guard;
            let request = EncodedRequest {
                method: &request.method,
                identity: id.as_deref().map_or(Identity::Anonymous, Identity::Request),
                head: &head_bytes,
                body: separate_body(&request),
                held: Some(&held),
                target: Some(&target),
            };
            let begun = RefCell::new(BegunGuard::new(
                &state,
                workspace.as_ref().map(|w| &*w.name),
            ));
            let result = exchange(&state, addr, request, deadline, async || {
                await_recent_entries(&state).await;
                let is_eligible = is_target_eligible(&state, &target);
                if is_eligible {
                    begun.borrow_mut().record_written();
                }
                is_eligible
            })
            .await;
            if matches!(result, SendResult::NotSent(_)) || states_not_run(&result) {
                begun.borrow_mut().record_not_run();
            }
            drop(begun);
            closed.set(matches!(
                result,
                SendResult::NoResponse(ResponseError::Closed)
            ));
            let sent = SentRequest {
                key: hash,
                id: id.as_deref(),
                target: &target,
                born,
                addr,
                sent: started,
            };
            record_result(&state, &sent, result).await
        };
        Self {
            selected,
            started,
            future: future.boxed_local(),
            pending,
            is_closed,
        }
    }

    /// Whether the target may have crashed under the request: it closed the connection without a response,
    /// and the check for a crash is not done.
    pub fn may_have_crashed(&self) -> bool {
        self.is_closed.get()
    }

    /// Records that the response takes longer than expected, so that the attempt no longer counts as
    /// good in the evidence of a rollout.
    pub fn record_overdue(&mut self) {
        self.pending = None;
    }

    /// Returns the pending result. It must not be awaited again after it completed.
    pub fn result(&mut self) -> &mut LocalBoxFuture<'static, SendResult> {
        &mut self.future
    }
}

/// Records what the result of a request says of its target, and of the request itself. Returns the
/// result, in which a crash is told from other ends of the connection.
async fn record_result(
    state: &Rc<State>,
    request: &SentRequest<'_>,
    result: SendResult,
) -> SendResult {
    let ended = state.now();
    match &result {
        SendResult::Response(response) => {
            record_notices(state, request.target, request.born, response, "response");
            if response.headers.has(headers::SIGNATURE) && !states_not_run(&result) {
                record_run(state, request.key);
            }
        }
        SendResult::NoResponse(ResponseError::Closed) if has_crashed(state, request).await => {
            record_crash(state, request, ended);
            return SendResult::NoResponse(ResponseError::Crashed);
        }
        _ => {}
    }
    result
}

/// Whether the target ran the request and responded without a server error.
pub fn is_good(result: &SendResult) -> bool {
    matches!(result, SendResult::Response(r) if r.status < 500) && !states_not_run(result)
}

/// Whether the target stated that it did not run the request.
pub fn states_not_run(result: &SendResult) -> bool {
    matches!(result, SendResult::Response(r) if r.headers.has(headers::NOT_RUN) || r.status == 421)
}

/// Counts a request as in flight at its target until dropped.
struct InFlightGuard {
    state: Rc<State>,
    id: TargetId,
}

impl InFlightGuard {
    fn start(state: &Rc<State>, selected: &SelectedTarget, service: &ServiceName) -> Self {
        let limits = SendLimits::of(state, service);
        if let Some(target) = state.targets.borrow_mut().get_mut(&selected.id) {
            limits.record_request(target);
        }
        Self {
            state: Rc::clone(state),
            id: selected.id.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(target) = self.state.targets.borrow_mut().get_mut(&self.id) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.unreported = target.unreported.saturating_sub(1);
        }
    }
}

/// Returns the body if it is too large to be copied beside the head for each attempt.
pub fn separate_body(request: &Request) -> Option<&BodyBytes> {
    (request.body.len() > MAX_JOINED).then_some(&request.body)
}

/// Encodes the head of the request, and its body if that is not separate, for the target, which has
/// `remaining_ms` to respond.
fn encode(
    request: &Request,
    caller: &Caller,
    selected: &SelectedTarget,
    remaining_ms: u64,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(request.body.len().min(MAX_JOINED) + 512);
    push_request_line(&mut bytes, request);
    let is_replaced = |name: &str| {
        headers::REPLACED
            .iter()
            .any(|own| name.eq_ignore_ascii_case(own))
    };
    let kept = request
        .headers
        .end_to_end()
        .filter(|(name, _)| !is_replaced(name) && !is_withheld(caller, name));
    write_headers(&mut bytes, kept);
    let own = format!(
        "{}: {remaining_ms}\r\n{}: {}\r\n",
        headers::DEADLINE_MS,
        headers::EXPECTED_TARGET,
        selected.id
    );
    bytes.extend_from_slice(own.as_bytes());
    if let Some(workspace) = caller.workspace() {
        let line = format!("{}: {}\r\n", headers::TENANT, workspace.name);
        bytes.extend_from_slice(line.as_bytes());
    }
    push_length_and_body(&mut bytes, request);
    bytes
}

/// Appends the request line.
pub fn push_request_line(bytes: &mut Vec<u8>, request: &Request) {
    let line = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    bytes.extend_from_slice(line.as_bytes());
}

/// Appends the length of the body, the end of the head, and the body if it is not separate.
pub fn push_length_and_body(bytes: &mut Vec<u8>, request: &Request) {
    let has_length =
        request.headers.has("content-length") || request.headers.has("transfer-encoding");
    if has_length {
        let line = format!("Content-Length: {}\r\n", request.body.len());
        bytes.extend_from_slice(line.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if separate_body(request).is_none() {
        request
            .body
            .segments()
            .for_each(|segment| bytes.extend_from_slice(segment));
    }
}

#[cfg(test)]
mod tests;
