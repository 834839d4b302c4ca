//! Serves one request of a caller: finds its route, forwards it, counts and logs the result.

use std::{rc::Rc, sync::Arc};

use balance::{Ask, GatewayConfig, Route, Suspicion, choose_service};
use futures::{
    future::{Either, select},
    pin_mut,
};
use h1::{Request, Response};
use model::{Code, Outcome, ServiceName, Time};
use platform::headers;
use rand::Rng;
use tracing::{info, warn};

use crate::{
    attempt_log::AttemptLog,
    crashes::{hex, request_key, suspicion},
    forward::Forwarder,
    line_class::REQUESTS,
    operator_age::{has_current_config, operator_age_ms},
    peer_forward::{Reply, RequestFrame},
    refusal::Refusal,
    resources::HeldBytes,
    response::{
        encode_forward_refusal, encode_forwarded, encode_refusal, separate_body, status,
        without_body,
    },
    returns::{arrive, promise},
    selection::processing_ms,
    send_limits::{limited_rate, reopens_ms},
    state::State,
    version_filter::assign_version,
    workspaces::{WorkspaceRequest, check_key},
};

/// Response to a request of a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Whether the caller keeps the connection for further requests.
    pub keep_alive: bool,
    result: Result<Response, Refusal>,
    to_head: bool,
    id: Option<String>,
    /// Where the response comes from, if another instance has forwarded the request.
    reply: Option<Reply>,
    /// Memory of the response until the caller has it.
    _held: Rc<HeldBytes>,
}

impl CallerResponse {
    /// Encodes the head of the response, and its body if that is small. `close` states whether the
    /// connection is closed after it.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        match &self.result {
            Ok(response) => encode_forwarded(response, self.reply.as_ref(), self.to_head, close),
            Err(refusal) => {
                let id = self.id.as_deref();
                let bytes = if self.reply.is_some() {
                    encode_forward_refusal(*refusal, id, close)
                } else {
                    encode_refusal(*refusal, id, close)
                };
                if self.to_head {
                    without_body(bytes)
                } else {
                    bytes
                }
            }
        }
    }

    /// Returns a large body, which follows what [`Self::encode`] returns.
    pub fn separate_body(&self) -> &[u8] {
        match &self.result {
            Ok(response) => separate_body(response, self.to_head),
            Err(_) => &[],
        }
    }

    /// Whether the request was refused for lack of room.
    pub fn has_no_room(&self) -> bool {
        matches!(&self.result, Err(refusal) if refusal.code == Code::NoRoom)
    }
}

/// A request that has arrived.
pub struct ArrivedRequest {
    /// The request.
    pub message: Rc<Request>,
    /// Time at which it was complete.
    pub arrived: Time,
    /// Memory that it takes.
    pub held: Rc<HeldBytes>,
    /// Reason to refuse it that its head gave. Its body was not kept then.
    pub refusal: Option<Refusal>,
    /// What the instance that has forwarded it tells of it; `None` if a caller has sent it.
    pub frame: Option<RequestFrame>,
}

/// Serves one request and returns the response for the caller.
pub async fn serve(state: Rc<State>, arrived: ArrivedRequest) -> CallerResponse {
    let request = &*arrived.message;
    let mut active = ActiveRequest::begin(Rc::clone(&state), request, arrived.arrived);
    let result = match arrived.refusal {
        Some(refusal) => Err(refusal_now(&state, request, refusal)),
        None => send_until_stopped(&state, &arrived, &mut active.attempt_log).await,
    };
    active.end(request, &result);
    let id = request.headers.single_value(headers::REQUEST_ID);
    arrived.held.shrink(request.memory_bytes() as u64);
    let reply = arrived.frame.and_then(|_| match &result {
        Ok(served) => served.reply.clone(),
        Err(refusal) => Some(Reply::Refused(refusal.code)),
    });
    CallerResponse {
        keep_alive: request.keep_alive,
        reply,
        result: result.map(|served| served.response),
        to_head: request.method == "HEAD",
        id: id.map(str::to_owned),
        _held: Rc::clone(&arrived.held),
    }
}

/// Returns the reason to refuse a request that its head gives, if there is one.
pub fn refusal_by_head(state: &State, head: &Request) -> Option<Refusal> {
    let Some(config) = state.config() else {
        return Some(not_ready(state));
    };
    let Some(route) = find_route(&config, head) else {
        return Some(unknown_route(state).into());
    };
    let is_current = || has_current_config(state);
    let caller = check_key(&config, route.access, head, is_current);
    caller.err().map(Refusal::from)
}

/// Returns the refusal of a request whose body was not kept because of `by_head`. The configuration may
/// have changed while the body arrived. A request that it allows now can only be sent again.
fn refusal_now(state: &State, request: &Request, by_head: Refusal) -> Refusal {
    refusal_by_head(state, request).unwrap_or_else(|| match by_head.code {
        Code::Unauthorized => Code::AccessUnsure.into(),
        Code::UnknownRoute => Code::RouteUnsure.into(),
        _ => by_head,
    })
}

type ServeResult = Result<ServedRequest, Refusal>;

/// A request that a target has answered.
struct ServedRequest {
    response: Response,
    route: Arc<Route>,
    /// Names the target.
    reply: Option<Reply>,
}

/// A request in progress. If it is dropped before `end` was called, the caller has disconnected.
struct ActiveRequest {
    state: Rc<State>,
    id: String,
    arrived: Time,
    attempt_log: AttemptLog,
    is_ended: bool,
}

impl ActiveRequest {
    fn begin(state: Rc<State>, request: &Request, arrived: Time) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self {
            state,
            id: request
                .headers
                .single_value(headers::REQUEST_ID)
                .unwrap_or("-")
                .to_owned(),
            arrived,
            attempt_log: AttemptLog::default(),
            is_ended: false,
        }
    }

    fn took_ms(&self) -> u64 {
        self.state.now().since_us(self.arrived) / 1_000
    }

    /// Counts and logs the result of the request.
    fn end(&mut self, request: &Request, result: &ServeResult) {
        self.is_ended = true;
        if self.state.is_leaving() {
            self.count_in_stop(result);
        }
        match result {
            Ok(served) => self.log_response(&served.response, &served.route),
            Err(refusal) => self.log_refusal(request, *refusal),
        }
    }

    fn count_in_stop(&self, result: &ServeResult) {
        let is_refused =
            matches!(result, Err(refusal) if refusal.code.outcome() == Outcome::NotRun);
        let mut counts = self.state.stop_counts.get();
        counts.answered += 1;
        counts.refused += u64::from(is_refused);
        self.state.stop_counts.set(counts);
    }

    fn log_response(&self, response: &Response, route: &Route) {
        let took_ms = self.took_ms();
        let is_late = took_ms > route.objective_ms;
        self.state
            .metrics
            .record_response(&route.name, took_ms, is_late);
        let (id, status, objective_ms) = (&*self.id, response.status, route.objective_ms);
        let (name, attempts, targets) = (
            &*route.name,
            self.attempt_log.attempts,
            self.attempt_log.summary(),
        );
        if status >= 400 || is_late {
            warn!(
                target: REQUESTS,
                event = "answered",
                id,
                route = name,
                status,
                took_ms,
                aim_ms = objective_ms,
                attempts,
                targets
            );
        } else {
            info!(
                target: REQUESTS,
                event = "answered",
                id,
                route = name,
                status,
                took_ms,
                aim_ms = objective_ms,
                attempts,
                targets
            );
        }
    }

    fn log_refusal(&self, request: &Request, refusal: Refusal) {
        let (state, code) = (&self.state, refusal.code);
        state.metrics.record_refusal(code);
        let age_ms = |at| state.now().since_us(at) / 1_000;
        let key = (code == Code::Quarantined).then(|| hex(self.attempt_log.hash));
        warn!(
            target: REQUESTS,
            event = "refused",
            id = &*self.id,
            path = request.path(),
            code = code.number(),
            status = status(code).0,
            retry_ms = refusal.retry_ms,
            room_ms = refusal.promise.map(|promise| promise.room_ms),
            claims_ms = refusal.promise.map(|promise| promise.claims_ms),
            took_ms = self.took_ms(),
            attempts = self.attempt_log.attempts,
            unsent = self.attempt_log.unsent,
            targets = self.attempt_log.summary(),
            key,
            config = state.config_version(),
            orders_age_ms = operator_age_ms(state),
            targets_age_ms = state.entries_as_of.get().map_or(0, age_ms)
        );
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state
            .active_requests
            .set(self.state.active_requests.get() - 1);
        if !self.is_ended {
            info!(
                target: REQUESTS,
                event = "caller_gone",
                id = &*self.id,
                took_ms = self.took_ms(),
                attempts = self.attempt_log.attempts,
                targets = self.attempt_log.summary()
            );
        }
    }
}

/// Forwards the request. If it is still in progress at the end of a planned stop, it is answered all
/// the same: a connection that ends without a response says even less.
async fn send_until_stopped(
    state: &Rc<State>,
    arrived: &ArrivedRequest,
    attempt_log: &mut AttemptLog,
) -> ServeResult {
    {
        let sending = route_and_send(state, arrived, attempt_log);
        let ended = state.requests_ended();
        pin_mut!(sending, ended);
        if let Either::Left((result, _)) = select(sending, ended).await {
            return result;
        }
    }
    if attempt_log.attempts == 0 {
        return Err(Code::Stopping.into());
    }
    let mut counts = state.stop_counts.get();
    counts.broken_off += 1;
    state.stop_counts.set(counts);
    Err(Code::UpstreamTimeout.into())
}

/// Forwards the request to a service of its route.
async fn route_and_send(
    state: &Rc<State>,
    arrived_request: &ArrivedRequest,
    attempt_log: &mut AttemptLog,
) -> ServeResult {
    let (request, arrived) = (&arrived_request.message, arrived_request.arrived);
    let config = state.config().ok_or_else(|| not_ready(state))?;
    let frame = arrived_request.frame;
    // The sender has forwarded by a newer configuration, which must not be undone.
    if frame.is_some_and(|frame| frame.config_version > config.version) {
        return Err(Code::RouteUnsure.into());
    }
    let route = find_route(&config, request).ok_or_else(|| unknown_route(state))?;
    let is_current = || has_current_config(state);
    let caller = check_key(&config, route.access, request, is_current)?;
    let limit_ms = deadline_ms(request).map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let deadline = arrived.plus_ms(limit_ms);
    if let Some(plan) = state.stop_plan.get()
        && !plan.accepts(arrived, deadline, processing_ms(state, &route))
    {
        return Err(Code::Stopping.into());
    }
    let hash = request_key(request, &caller);
    attempt_log.hash = hash;
    attempt_log.attempts = frame.map_or(0, |frame| frame.attempts);
    if let Suspicion::Confirmed { left_us } = suspicion(state, hash) {
        return Err(Refusal::quarantined(Some(left_us)));
    }
    let draw = rand::rng().random::<f64>();
    let chosen = choose_service(&route.split, draw).ok_or(Code::NoTarget)?;
    state.with_budget(&chosen.service, |budget| budget.record_request(state.now()));
    let order = assign_version(state, &chosen.service);
    let workspace = caller.workspace().map(|workspace| &**workspace);
    let urgency_rank = config.urgency_rank(&route, workspace, &chosen.service);
    let ask = arrive(state, &route, &chosen.service, urgency_rank, limit_ms);
    let mut forwarder = Forwarder {
        state,
        request: WorkspaceRequest {
            request: arrived_request,
            caller: &caller,
            hash,
        },
        route: &route,
        service: &chosen.service,
        deadline,
        arrived,
        is_urgent: config.is_urgent(&route, workspace),
        urgency_rank,
        ask,
        order,
        permit: None,
        tried: Vec::new(),
        may_have_run: false,
        reply: None,
        peer_refusal: None,
        attempt_log,
    };
    let result = forwarder.run().await;
    if let (Err(code), Some(refusal)) = (&result, forwarder.peer_refusal)
        && *code == refusal.code
    {
        return Err(refusal);
    }
    match result {
        Ok(response) => Ok(ServedRequest {
            response,
            route: Arc::clone(&route),
            reply: forwarder.reply,
        }),
        Err(Code::LimitReached) => {
            let rate = limited_rate(state, &chosen.service);
            let reopens_ms = reopens_ms(state, &chosen.service);
            Err(Refusal::at_limit(rate, reopens_ms))
        }
        Err(Code::Quarantined) => Err(Refusal::quarantined(suspicion(state, hash).left_us())),
        Err(Code::CannotMeet) if let Some(ask) = &ask => {
            Err(refuse_in_order(state, &chosen.service, ask, arrived))
        }
        Err(code) => Err(code.into()),
    }
}

/// Returns the refusal of a request while the instance has no configuration.
fn not_ready(state: &State) -> Refusal {
    let progress = &state.start_progress;
    Refusal::starting(progress.expected_ready_ms(state.started, state.now()))
}

/// Returns the refusal of a request that cannot meet its objective, with the time at which its caller is
/// to return.
fn refuse_in_order(state: &State, service: &ServiceName, ask: &Ask, arrived: Time) -> Refusal {
    let took_ms = state.now().since_us(arrived) as f64 / 1_000.0;
    if ask.kind.can_wait {
        Refusal::ordered(promise(state, service, ask, took_ms))
    } else {
        Refusal::busy(ask.left_ms - took_ms, ask.work_ms)
    }
}

/// Returns the route of a request, by its path and its host without the port.
fn find_route(config: &GatewayConfig, request: &Request) -> Option<Arc<Route>> {
    find_route_of(
        config,
        request.headers.single_value("host")?,
        request.path(),
    )
}

/// Returns the route of requests with this `Host` header and path.
pub fn find_route_of(config: &GatewayConfig, host: &str, path: &str) -> Option<Arc<Route>> {
    let host = host.to_ascii_lowercase();
    let name = host.split(':').next().unwrap_or_default();
    config.route(name, path).cloned()
}

/// Returns the code of a request without a route. While the configuration may be out of date, the route
/// may have been added, and another instance may have it.
pub fn unknown_route(state: &State) -> Code {
    if has_current_config(state) {
        Code::UnknownRoute
    } else {
        Code::RouteUnsure
    }
}

/// Returns how long the caller waits for the response, in milliseconds, if the request states it.
fn deadline_ms(request: &Request) -> Option<u64> {
    request
        .headers
        .single_value(headers::DEADLINE_MS)?
        .parse()
        .ok()
}

#[cfg(test)]
mod tests;
