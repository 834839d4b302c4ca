//! One request of a caller: its route, its result, and its line in the log.

use std::{rc::Rc, sync::Arc};

use balance::{GatewayConfig, Route, choose_service};
use h1::{Request, Response};
use model::{Code, ServiceName, Time};
use platform::headers;
use rand::Rng;
use tracing::{info, warn};

use crate::{
    job::Job,
    phase::Phase,
    reply::{pass_on, refusal, status},
    state::State,
    story::Story,
};

/// The response to a request, as bytes.
#[derive(Debug)]
pub struct Reply {
    /// Bytes for the caller.
    pub bytes: Vec<u8>,
    /// Whether the connection is to be closed after them.
    pub close: bool,
}

/// Serves one request.
pub async fn serve(state: Rc<State>, request: Request, arrived: Time) -> Reply {
    let mut call = Call::begin(Rc::clone(&state), &request, arrived);
    let result = route_and_send(&state, &request, arrived, &mut call.story).await;
    let close = !request.keep_alive || state.phase.get() == Phase::Leaving;
    call.end(&request, &result);
    let bytes = match result {
        Ok((response, _)) => pass_on(&response, request.method == "HEAD", close),
        Err(code) => refusal(
            code,
            request.headers.single_value(headers::REQUEST_ID),
            close,
        ),
    };
    Reply { bytes, close }
}

type Served = Result<(Response, Arc<Route>), Code>;

/// A request in progress. If it is dropped before its end, its caller has left.
struct Call {
    state: Rc<State>,
    id: String,
    arrived: Time,
    story: Story,
    is_ended: bool,
}

impl Call {
    fn begin(state: Rc<State>, request: &Request, arrived: Time) -> Self {
        state.busy.set(state.busy.get() + 1);
        Self {
            state,
            id: request
                .headers
                .single_value(headers::REQUEST_ID)
                .unwrap_or("-")
                .to_owned(),
            arrived,
            story: Story::default(),
            is_ended: false,
        }
    }

    fn took_ms(&self) -> u64 {
        self.state.now().since_us(self.arrived) / 1_000
    }

    /// Counts and logs the result.
    fn end(&mut self, request: &Request, result: &Served) {
        self.is_ended = true;
        match result {
            Ok((response, route)) => self.log_answered(response, route),
            Err(code) => self.log_refused(request, *code),
        }
    }

    fn log_answered(&self, response: &Response, route: &Route) {
        let took_ms = self.took_ms();
        let is_late = took_ms > route.objective_ms;
        self.state.metrics.served(&route.name, took_ms, is_late);
        let (id, status, aim_ms) = (&*self.id, response.status, route.objective_ms);
        let (name, attempts, targets) = (&*route.name, self.story.attempts, self.story.path());
        if status >= 400 || is_late {
            warn!(
                event = "answered",
                id,
                route = name,
                status,
                took_ms,
                aim_ms,
                attempts,
                targets
            );
        } else {
            info!(
                event = "answered",
                id,
                route = name,
                status,
                took_ms,
                aim_ms,
                attempts,
                targets
            );
        }
    }

    fn log_refused(&self, request: &Request, code: Code) {
        let state = &self.state;
        state.metrics.refused(code);
        let age_ms = |at| state.now().since_us(at) / 1_000;
        warn!(
            event = "refused",
            id = &*self.id,
            path = request.path(),
            code = code.number(),
            status = status(code).0,
            took_ms = self.took_ms(),
            attempts = self.story.attempts,
            unsent = self.story.unsent,
            targets = self.story.path(),
            config = state.manifest().map_or(0, |m| m.version),
            targets_age_ms = state.targets_read.get().map_or(0, age_ms)
        );
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.state.busy.set(self.state.busy.get() - 1);
        if !self.is_ended {
            info!(
                event = "caller_gone",
                id = &*self.id,
                took_ms = self.took_ms(),
                attempts = self.story.attempts,
                targets = self.story.path()
            );
        }
    }
}

async fn route_and_send(
    state: &Rc<State>,
    request: &Request,
    arrived: Time,
    story: &mut Story,
) -> Served {
    let manifest = state.manifest().ok_or(Code::NotReady)?;
    let route = find_route(&manifest, request).ok_or(Code::UnknownRoute)?;
    let limit_ms = deadline_ms(request).map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let deadline = arrived.plus_ms(limit_ms);
    let draw = rand::rng().random::<f64>();
    let part = choose_service(&route.split, draw).ok_or(Code::NoTarget)?;
    state.with_budget(&part.service, |budget| budget.record_request(state.now()));
    let is_new = draw_version(state, &part.service);
    let mut job = Job {
        state,
        request,
        route: &route,
        service: &part.service,
        deadline,
        arrived,
        is_urgent: manifest.is_urgent(&route),
        is_new,
        extra: None,
        tried: Vec::new(),
        may_have_run: false,
        story,
    };
    let response = job.run().await?;
    Ok((response, Arc::clone(&route)))
}

/// The route of a request, by its host without port and its path.
fn find_route(manifest: &GatewayConfig, request: &Request) -> Option<Arc<Route>> {
    let host = request.headers.single_value("host")?.to_ascii_lowercase();
    let name = host.split(':').next().unwrap_or_default();
    manifest.route(name, request.path()).cloned()
}

/// How long the caller waits, in milliseconds.
fn deadline_ms(request: &Request) -> Option<u64> {
    request
        .headers
        .single_value(headers::DEADLINE_MS)?
        .parse()
        .ok()
}

fn draw_version(state: &State, service: &ServiceName) -> bool {
    state
        .rollouts
        .borrow_mut()
        .get_mut(service)
        .is_some_and(balance::Rollout::next_is_new)
}
