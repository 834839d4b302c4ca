//! One request of a caller: its route, its targets, and what is answered.

use std::{rc::Rc, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use balance::{AdmitLimits, Manifest, RetryBudget, Route, Verdict, pick_part};
use futures::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use h1::{Request, Response, write_headers};
use model::{Code, ServiceName, TargetId, Time};
use platform::{cold_ms, headers, load_report};
use rand::Rng;
use tracing::{info, warn};

use crate::{
    choose::{Pick, Wish, choose, may_send, work_ms},
    exchange::{Loss, Message, Sent, exchange},
    reply::{pass_on, refusal, status},
    state::State,
};

/// Connections that a request may fail to open before it is refused. Such tries reach no target.
const MAX_UNSENT: u32 = 3;
/// Times the expected time from which a response counts as slow. A neighbour that gets noisy after the
/// choice makes a target up to 4 times slower, but rarely for a whole request.
const SLOW_FACTOR: f64 = 3.0;
/// Times the expected time after which a request that may be repeated is sent to a second target.
const HEDGE_FACTOR: f64 = 1.8;
/// Shortest wait for a response before a second target is tried, in milliseconds.
const HEDGE_MIN_MS: f64 = 25.0;
/// Shortest time that is worth another attempt, as a part of the route's work time.
const MIN_LEFT: f64 = 0.8;

/// Pause before another look for a target while all that were asked are busy, in milliseconds. A slot
/// of two dozen targets becomes free every few milliseconds.
const RETRY_PICK_MS: f64 = 7.0;

/// What became of a request, for the log.
#[derive(Debug, Default)]
struct Story {
    attempts: u32,
    unsent: u32,
    path: String,
}

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
    state.busy.set(state.busy.get() + 1);
    let _busy = Busy(Rc::clone(&state));
    let id = request.headers.only(headers::REQUEST_ID).map(str::to_owned);
    let mut story = Story::default();
    let result = route_and_send(&state, &request, id.as_deref(), arrived, &mut story).await;
    let close = !request.reusable || state.phase.get() == crate::phase::Phase::Leaving;
    let took_ms = state.now().since_us(arrived) / 1_000;
    let id = id.as_deref();
    let shown = id.unwrap_or("-");
    let bytes = match result {
        Ok((response, route)) => {
            let is_late = took_ms > route.aim_ms;
            state.metrics.served(&route.name, took_ms, is_late);
            let (attempts, path) = (story.attempts, story.path.trim_end());
            if response.status >= 400 || is_late {
                warn!(
                    event = "answered",
                    id = shown,
                    route = &*route.name,
                    status = response.status,
                    took_ms,
                    aim_ms = route.aim_ms,
                    attempts,
                    targets = path
                );
            } else {
                info!(
                    event = "answered",
                    id = shown,
                    route = &*route.name,
                    status = response.status,
                    took_ms,
                    attempts,
                    targets = path
                );
            }
            pass_on(&response, request.method == "HEAD", close)
        }
        Err(kind) => {
            state.metrics.refused(kind);
            warn!(
                event = "refused",
                id = shown,
                path = request.path(),
                code = kind.number(),
                status = status(kind).0,
                took_ms,
                attempts = story.attempts,
                unsent = story.unsent,
                targets = story.path.trim_end(),
                config = state.manifest().map_or(0, |m| m.version),
                targets_age_ms = state
                    .targets_read
                    .get()
                    .map_or(0, |t| state.now().since_us(t) / 1_000)
            );
            refusal(kind, id, close)
        }
    };
    Reply { bytes, close }
}

/// Counts a request in progress until dropped.
struct Busy(Rc<State>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

async fn route_and_send(
    state: &Rc<State>,
    request: &Request,
    id: Option<&str>,
    arrived: Time,
    story: &mut Story,
) -> Result<(Response, Arc<Route>), Code> {
    let manifest = state.manifest().ok_or(Code::NotReady)?;
    let route = find_route(&manifest, request).ok_or(Code::UnknownRoute)?;
    let limit_ms = deadline_ms(request).map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let deadline = arrived.plus_ms(limit_ms);
    let draw = rand::rng().random::<f64>();
    let part = pick_part(&route.parts, draw).ok_or(Code::NoTarget)?;
    with_budget(state, &part.service, |budget| {
        budget.note_request(state.now());
    });
    let is_new = draw_version(state, &part.service);
    let mut job = Job {
        state,
        request,
        id,
        route: &route,
        service: &part.service,
        deadline,
        arrived,
        is_urgent: manifest.is_urgent(&route),
        is_new,
        tried: Vec::new(),
        may_have_run: false,
        story,
    };
    let response = job.run().await?;
    Ok((response, Arc::clone(&route)))
}

/// The route of a request, by its host without port and its path.
fn find_route(manifest: &Manifest, request: &Request) -> Option<Arc<Route>> {
    let host = request.headers.only("host")?.to_ascii_lowercase();
    let name = host.split(':').next().unwrap_or_default();
    manifest.route(name, request.path()).cloned()
}

/// How long the caller waits, in milliseconds.
fn deadline_ms(request: &Request) -> Option<u64> {
    request.headers.only(headers::DEADLINE_MS)?.parse().ok()
}

fn with_budget<T>(
    state: &State,
    service: &ServiceName,
    action: impl FnOnce(&mut RetryBudget) -> T,
) -> T {
    let settings = &state.settings;
    let mut budgets = state.budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_insert_with(|| {
        let window_us = std::time::Duration::from_secs_f64(settings.retry_window_s).as_micros();
        let window_us = u64::try_from(window_us).unwrap_or(u64::MAX);
        RetryBudget::new(window_us, settings.retry_ratio, settings.retry_slack)
    });
    action(budget)
}

fn draw_version(state: &State, service: &ServiceName) -> bool {
    state
        .rollouts
        .borrow_mut()
        .get_mut(service)
        .is_some_and(balance::Rollout::draw)
}

struct Job<'a> {
    state: &'a Rc<State>,
    request: &'a Request,
    id: Option<&'a str>,
    route: &'a Arc<Route>,
    service: &'a ServiceName,
    deadline: Time,
    arrived: Time,
    is_urgent: bool,
    is_new: bool,
    tried: Vec<TargetId>,
    may_have_run: bool,
    story: &'a mut Story,
}

impl Job<'_> {
    async fn run(&mut self) -> Result<Response, Code> {
        loop {
            let pick = self.admit().await?;
            let started = self.state.now();
            if started >= self.deadline {
                return Err(self.give_up(Code::DeadlinePassed, Code::UpstreamTimeout));
            }
            let (flight, sent) = self.fly(pick).await;
            let took_us = self.state.now().since_us(flight.started);
            if let Some(done) = self.conclude(&flight.pick, sent, took_us) {
                return done;
            }
        }
    }

    /// Sends the request and waits for a result. One that may be repeated and takes too long is sent to
    /// a second target as well; the first good result counts, and the other send is cancelled.
    async fn fly(&mut self, pick: Pick) -> (Flight, Sent) {
        let patience_ms = (pick.outlook.ms * HEDGE_FACTOR).max(HEDGE_MIN_MS);
        let mut first = self.launch(pick);
        if !self.route.repeatable {
            let sent = first.result().await;
            return (first, sent);
        }
        let patience = Duration::from_secs_f64(patience_ms / 1_000.0);
        if let Ok(sent) = timeout(patience, first.result()).await {
            return (first, sent);
        }
        let Some(second) = self.pick_second().await else {
            let sent = first.result().await;
            return (first, sent);
        };
        self.state.metrics.count("hedges", 1);
        let second = self.launch(second);
        self.first_good(first, second).await
    }

    /// A second target that can start at once, if the budget allows one.
    async fn pick_second(&mut self) -> Option<Pick> {
        if !self.may_retry() {
            return None;
        }
        let pick = choose(self.state, &self.wish(self.is_new)).await?;
        let fits = pick.outlook.is_free && pick.outlook.ms < self.left_ms();
        (fits && self.may_retry()).then_some(pick)
    }

    async fn first_good(&mut self, mut first: Flight, mut second: Flight) -> (Flight, Sent) {
        let winner = select(first.result(), second.result()).await;
        let (mut done, sent, mut other) = match winner {
            Either::Left((sent, _)) => (first, sent, second),
            Either::Right((sent, _)) => (second, sent, first),
        };
        if is_good(&sent) {
            let took_us = self.state.now().since_us(other.started);
            self.note(&other.pick, "overtaken", took_us);
            if is_slow(&other.pick, took_us) {
                self.judge(&other.pick, false);
            }
            return (done, sent);
        }
        let took_us = self.state.now().since_us(done.started);
        self.note(&done.pick, "failed", took_us);
        self.may_have_run |= !matches!(sent, Sent::Unsent(_)) && !is_unrun(&sent);
        std::mem::swap(&mut done, &mut other);
        let sent = done.result().await;
        (done, sent)
    }

    fn launch(&mut self, pick: Pick) -> Flight {
        let now = self.state.now();
        let bytes = self.encode(&pick, now);
        let inflight = InFlight::start(self.state, &pick, self.service);
        self.sent_to(&pick);
        info!(event = "sent", id = self.id.unwrap_or("-"), attempt = self.story.attempts,
            target_id = %pick.id, service = %self.service, expected_ms = pick.outlook.ms.round(),
            free = pick.outlook.is_free, pace = pick.pace, load_age_us = pick.age_us,
            new_version = pick.is_new, left_ms = self.left_ms().round());
        let state = Rc::clone(self.state);
        let (method, id) = (self.request.method.clone(), self.id.map(str::to_owned));
        let (addr, deadline) = (pick.addr, self.deadline);
        let target = pick.id.clone();
        let future = async move {
            let _inflight = inflight;
            let message = Message {
                method: &method,
                id: id.as_deref(),
                bytes: &bytes,
            };
            exchange(&state, addr, message, deadline, || {
                may_send(&state, &target)
            })
            .await
        };
        Flight {
            pick,
            started: now,
            future: future.boxed_local(),
        }
    }

    async fn pick(&mut self) -> Result<Pick, Code> {
        let mut pick = choose(self.state, &self.wish(self.is_new)).await;
        if pick.is_none() && self.is_new && !self.must_be_new() {
            self.is_new = false;
            pick = choose(self.state, &self.wish(false)).await;
        }
        let Some(pick) = pick else {
            return Err(self.give_up(Code::NoTarget, Code::UpstreamClosed));
        };
        Ok(pick)
    }

    /// A target that is expected to respond in time, or a refusal early enough for the caller to come
    /// back. Requests that are sure to be late would only make others late.
    async fn admit(&mut self) -> Result<Pick, Code> {
        loop {
            let pick = self.pick().await?;
            let waited_ms = self.waited_ms();
            let limits = AdmitLimits::of(self.route, self.is_urgent);
            if limits.admits(waited_ms, &pick.outlook) || self.may_have_run {
                return Ok(pick);
            }
            if waited_ms + RETRY_PICK_MS > limits.hold_ms {
                return Err(self.give_up(Code::CannotMeet, Code::UpstreamClosed));
            }
            task::sleep(Duration::from_secs_f64(RETRY_PICK_MS / 1_000.0)).await;
        }
    }

    fn waited_ms(&self) -> f64 {
        self.state.now().since_us(self.arrived) as f64 / 1_000.0
    }

    fn wish(&self, is_new: bool) -> Wish<'_> {
        Wish {
            service: self.service,
            route: &self.route.name,
            is_new,
            tried: &self.tried,
        }
    }

    /// Whether the old version may get nothing any more.
    fn must_be_new(&self) -> bool {
        let rollouts = self.state.rollouts.borrow();
        rollouts
            .get(self.service)
            .is_some_and(|r| r.verdict == Verdict::Done)
    }

    fn left_ms(&self) -> f64 {
        self.deadline.since_us(self.state.now()) as f64 / 1_000.0
    }

    /// The refusal that is true: `unrun` only if no target can have run the request.
    fn give_up(&self, unrun: Code, unknown: Code) -> Code {
        if self.may_have_run { unknown } else { unrun }
    }

    /// The request as it goes to a target.
    fn encode(&self, pick: &Pick, now: Time) -> Vec<u8> {
        let request = self.request;
        let mut bytes = Vec::with_capacity(request.body.len() + 512);
        bytes.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", request.method, request.target).as_bytes(),
        );
        let kept = request.headers.end_to_end().filter(|(name, _)| {
            !headers::REPLACED
                .iter()
                .any(|own| name.eq_ignore_ascii_case(own))
        });
        write_headers(&mut bytes, kept);
        let left_ms = self.deadline.since_us(now) / 1_000;
        let own = format!(
            "{}: {left_ms}\r\n{}: {}\r\n",
            headers::DEADLINE_MS,
            headers::EXPECTED_TARGET,
            pick.id
        );
        bytes.extend_from_slice(own.as_bytes());
        let has_length =
            request.headers.has("content-length") || request.headers.has("transfer-encoding");
        if has_length {
            bytes.extend_from_slice(
                format!("Content-Length: {}\r\n", request.body.len()).as_bytes(),
            );
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&request.body);
        bytes
    }

    /// What follows from one send; `None` for another attempt.
    fn conclude(
        &mut self,
        pick: &Pick,
        sent: Sent,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        match sent {
            Sent::Unsent(error) => {
                self.note(pick, "unsent", took_us);
                info!(event = "target_unreachable", target_id = %pick.id, %error);
                if may_send(self.state, &pick.id) {
                    self.state.note_down(&pick.id);
                }
                self.story.attempts -= 1;
                self.story.unsent += 1;
                if self.story.unsent >= MAX_UNSENT {
                    return Some(Err(self.give_up(Code::ConnectFailed, Code::UpstreamClosed)));
                }
                None
            }
            Sent::Response(response) => self.conclude_response(pick, *response, took_us),
            Sent::Lost(loss) => {
                self.note(
                    pick,
                    if loss == Loss::Timeout {
                        "timeout"
                    } else {
                        "lost"
                    },
                    took_us,
                );
                self.may_have_run = true;
                self.judge(pick, false);
                if loss == Loss::Timeout {
                    return Some(Err(Code::UpstreamTimeout));
                }
                if self.route.repeatable && self.may_retry() {
                    return None;
                }
                Some(Err(match loss {
                    Loss::Malformed(_) => Code::BadAnswer,
                    _ => Code::UpstreamClosed,
                }))
            }
        }
    }

    fn conclude_response(
        &mut self,
        pick: &Pick,
        response: Response,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        self.learn(pick, &response);
        if response.headers.has(headers::NOT_RUN) || response.status == 421 {
            self.note(pick, "shed", took_us);
            self.state.metrics.count("sheds", 1);
            if response.status == 421 {
                self.state.targets.borrow_mut().remove(&pick.id);
                self.state.pool.forget(pick.addr);
            }
            if self.may_retry() {
                return None;
            }
            return Some(Err(
                self.give_up(Code::UpstreamRefused, Code::UpstreamClosed)
            ));
        }
        let is_signed = response.headers.has(headers::SIGNATURE);
        let is_own = response.headers.only(headers::REQUEST_ID) == self.id;
        let is_proper = is_signed && is_own && !response.headers.has("content-encoding");
        self.may_have_run = true;
        if is_proper && response.status < 500 {
            self.note(pick, "ok", took_us);
            self.note_work(pick, took_us);
            return Some(Ok(response));
        }
        self.note(pick, if is_proper { "error" } else { "invalid" }, took_us);
        self.judge(pick, false);
        if self.route.repeatable && self.may_retry() {
            return None;
        }
        let is_failure = response.status >= 400 && is_own;
        Some(if is_failure {
            Ok(response)
        } else {
            Err(Code::UpstreamClosed)
        })
    }

    /// Takes in load and warm-up from a response.
    fn learn(&self, pick: &Pick, response: &Response) {
        let now = self.state.now();
        let mut targets = self.state.targets.borrow_mut();
        let Some(target) = targets.get_mut(&pick.id) else {
            return;
        };
        if let Some(load) = load_report(&response.headers, now) {
            target.note_load(load);
        }
        if let Some(ms) = cold_ms(&response.headers) {
            target.note_cold(now, ms);
        }
    }

    fn sent_to(&mut self, pick: &Pick) {
        self.story.attempts += 1;
        if self.story.attempts > 1 {
            with_budget(self.state, self.service, |b| b.note_extra(self.state.now()));
        }
        self.tried.push(pick.id.clone());
    }

    /// Whether another send fits attempts, time and budget.
    fn may_retry(&self) -> bool {
        let work_ms = work_ms(self.state, &self.route.name);
        self.story.attempts < self.route.attempts
            && self.left_ms() > work_ms * MIN_LEFT
            && with_budget(self.state, self.service, |b| {
                b.allows(self.state.now(), self.state.instances().len())
            })
    }

    fn note_work(&self, pick: &Pick, took_us: u64) {
        if !pick.is_new {
            let mut work = self.state.work.borrow_mut();
            let work = work.entry(Arc::clone(&self.route.name)).or_default();
            work.note(took_us as f64 / 1_000.0, pick.pace);
        }
        self.judge(pick, !is_slow(pick, took_us));
    }

    fn judge(&self, pick: &Pick, is_good: bool) {
        self.state.note_outcome(&pick.id, is_good);
        self.note_evidence(pick, is_good);
    }

    fn note_evidence(&self, pick: &Pick, is_good: bool) {
        let mut rollouts = self.state.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(self.service) else {
            return;
        };
        if rollout.verdict != Verdict::Running {
            return;
        }
        let route = model::rendezvous(&self.route.name, "");
        let stage = rollout.stage.0;
        rollout.own.note(pick.is_new, stage, route, is_good);
        if rollout.judge() {
            warn!(event = "rollout_stopped", service = %self.service,
                version = %rollout.order.version, stage, evidence = ?rollout.evidence().new);
        }
    }

    fn note(&mut self, pick: &Pick, what: &str, took_us: u64) {
        use std::fmt::Write;
        let _ = write!(self.story.path, "{}:{what}:{}ms ", pick.id, took_us / 1_000);
    }
}

/// A request on its way to one target.
struct Flight {
    pick: Pick,
    started: Time,
    future: LocalBoxFuture<'static, Sent>,
}

impl Flight {
    /// The result; to be awaited only once to its end.
    fn result(&mut self) -> &mut LocalBoxFuture<'static, Sent> {
        &mut self.future
    }
}

fn is_good(sent: &Sent) -> bool {
    matches!(sent, Sent::Response(r) if r.status < 500 && !r.headers.has(headers::NOT_RUN))
}

/// Whether the target said that it did not run the request.
fn is_unrun(sent: &Sent) -> bool {
    matches!(sent, Sent::Response(r) if r.headers.has(headers::NOT_RUN) || r.status == 421)
}

fn is_slow(pick: &Pick, took_us: u64) -> bool {
    took_us as f64 / 1_000.0 > pick.outlook.ms * SLOW_FACTOR
}

/// Counts a request at a target until dropped.
struct InFlight {
    state: Rc<State>,
    id: TargetId,
}

impl InFlight {
    fn start(state: &Rc<State>, pick: &Pick, service: &ServiceName) -> Self {
        let now = state.now();
        if let Some(target) = state.targets.borrow_mut().get_mut(&pick.id) {
            target.inflight += 1;
            target.unseen += 1;
            if target.is_cold(now) {
                let manifest = state.manifest();
                let spec = manifest.as_ref().and_then(|m| m.service(service));
                let instances = state.instances().len();
                target
                    .gate
                    .note(now, spec.map_or(1.0, |s| s.cold_rate), instances);
            }
        }
        Self {
            state: Rc::clone(state),
            id: pick.id.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(target) = self.state.targets.borrow_mut().get_mut(&self.id) {
            target.inflight = target.inflight.saturating_sub(1);
            target.unseen = target.unseen.saturating_sub(1);
        }
    }
}
