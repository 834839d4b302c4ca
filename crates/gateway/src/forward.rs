//! Forwards one request to targets: admission, hedging, retries and the final result.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use balance::{Ask, Contact, HoldReason, Position, Route, Suspicion, Verdict};
use futures::{
    FutureExt,
    future::{Either, select},
};
use h1::Response;
use model::{Code, Outcome, ServiceName, TargetId, Time};
use platform::headers;
use tracing::info;

use crate::{
    admission::{Admission, MIN_REMAINING_FACTOR, RESELECT_INTERVAL_MS, is_too_late},
    attempt::{Attempt, is_good, states_not_run},
    attempt_log::AttemptLog,
    attempt_permit::AttemptPermit,
    crashes::suspicion,
    exchange::{ResponseError, SendResult},
    hedging,
    line_class::REQUESTS,
    operator_age::operator_age_ms,
    outcome::{claims_not_run, is_slow, record_outcome, record_processing_time, record_reports},
    peer_forward::{PeerResult, Reply, RequestFrame, choose_peer, send_via_peer},
    refusal::Refusal,
    returns::{record_admission, room_for},
    selection::{Criteria, SelectedTarget, is_target_eligible, processing_ms, select_target},
    send_limits::{limited_rate, reopens_ms},
    state::State,
    suspect_trial::SuspectTrial,
    version_filter::{is_assigned, is_new_version},
    workspaces::WorkspaceRequest,
};

/// Failed connection attempts after which a request is refused. They do not count towards the
/// route's attempts, since nothing reached a target.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Other instances that a request is forwarded to, one after the other, until one takes it.
const MAX_PEERS: usize = 3;
/// Share of the retry budget that hedges may use. The rest is reserved for retries after failures.
const HEDGE_BUDGET_SHARE: f64 = 0.6;
/// Share of the retry budget that retries of less urgent requests may use.
const NON_URGENT_BUDGET_SHARE: f64 = 0.85;

/// Forwards one request until there is a final result.
pub struct Forwarder<'a> {
    /// State of the instance.
    pub state: &'a Rc<State>,
    /// Request to forward, and the workspace that it belongs to.
    pub request: WorkspaceRequest<'a>,
    /// Route of the request.
    pub route: &'a Arc<Route>,
    /// Service that the request is sent to.
    pub service: &'a ServiceName,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Time at which the request arrived.
    pub arrived: Time,
    /// Whether no other route has a more urgent priority.
    pub is_urgent: bool,
    /// Number of priorities of the service that are more urgent.
    pub urgency_rank: usize,
    /// What the return order knows of the request, if there is one.
    pub ask: Option<Ask>,
    /// Order of the rollout to whose new version the request is assigned, if it is.
    pub order: Option<Position>,
    /// Permit for the next extra attempt, if one was taken from the retry budget.
    pub permit: Option<AttemptPermit>,
    /// Targets that the request was sent to.
    pub tried: Vec<TargetId>,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Names the target that has answered.
    pub reply: Option<Reply>,
    /// How the request has ended at the instance that it was forwarded through.
    pub peer_refusal: Option<Refusal>,
    /// Attempts so far, for the log line of the request.
    pub attempt_log: &'a mut AttemptLog,
}

impl Forwarder<'_> {
    /// Sends the request to targets until there is a final result.
    pub async fn run(&mut self) -> Result<Response, Code> {
        loop {
            if self.is_cut_off() {
                if let Some(done) = self.forward_via_peers().await {
                    return done;
                }
                if self.has_no_target() {
                    return Err(self.failure_code(Code::CutOff, Code::UpstreamClosed));
                }
            }
            let selected = self.await_admission().await?;
            let Some(_trial) = self.begin_trial() else {
                return Err(self.failure_code(Code::Quarantined, Code::UpstreamClosed));
            };
            let started = self.state.now();
            if started >= self.deadline {
                return Err(self.failure_code(Code::DeadlinePassed, Code::UpstreamTimeout));
            }
            let (attempt, result) = self.send_with_hedge(selected).await;
            let took_us = self.state.now().since_us(attempt.started);
            if let Some(done) = self.handle_result(&attempt.selected, result, took_us) {
                return done;
            }
        }
    }

    /// Whether the targets of the service seem out of reach.
    fn is_cut_off(&self) -> bool {
        self.state.reach.borrow().contact(self.service) != Contact::Reached
    }

    /// Whether this instance is not to try any target: none is known to be in reach, or another instance
    /// has forwarded the request, which can do so through one that is not cut off.
    fn has_no_target(&self) -> bool {
        let reach = self.state.reach.borrow();
        self.is_forwarded() || reach.has_none(self.service, self.state.now())
    }

    /// Whether another instance has forwarded the request.
    fn is_forwarded(&self) -> bool {
        self.request.request.frame.is_some()
    }

    /// Whether this instance has sent the request to a target, so that further attempts need permits here.
    fn has_own_attempts(&self) -> bool {
        let frame = self.request.request.frame;
        self.attempt_log.attempts > frame.map_or(0, |frame| frame.attempts)
    }

    /// Forwards the request through other instances until one takes it. Returns its final result; `None`
    /// if no instance has taken it.
    async fn forward_via_peers(&mut self) -> Option<Result<Response, Code>> {
        if self.is_forwarded() {
            return None;
        }
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS && self.state.now() < self.deadline {
            let addr = choose_peer(self.state, &tried)?;
            tried.push(addr);
            let started = self.state.now();
            let frame = RequestFrame {
                attempts: self.attempt_log.attempts,
                waited_ms: u32::try_from(started.since_us(self.arrived) / 1_000)
                    .unwrap_or(u32::MAX),
                config_version: self.state.config_version(),
            };
            let deadline = self.state.deadline_in_stop(self.deadline);
            let request = self.request.request;
            let result = send_via_peer(self.state, request, frame, addr, deadline).await;
            let took_us = self.state.now().since_us(started);
            if let Some(done) = self.handle_peer_result(addr, result, took_us) {
                return Some(done);
            }
        }
        None
    }

    /// Returns the final result after the request was forwarded through the instance at `addr`, or `None`
    /// if it may be sent again.
    fn handle_peer_result(
        &mut self,
        addr: SocketAddr,
        result: PeerResult,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        let what = match &result {
            PeerResult::Response(_) => "ok",
            PeerResult::Ended(_) => "ended",
            PeerResult::NotTaken => "not_taken",
            PeerResult::Lost(_) => "lost",
        };
        self.attempt_log.record_peer(addr, what, took_us);
        if matches!(result, PeerResult::NotTaken) {
            return None;
        }
        self.attempt_log.attempts += 1;
        if let Some(permit) = self.permit.take() {
            permit.consume();
        }
        match result {
            PeerResult::Response(response) => {
                self.move_request_to_peer();
                self.reply = Reply::of(&response);
                Some(Ok(*response))
            }
            PeerResult::Ended(refusal) => {
                self.move_request_to_peer();
                self.peer_refusal = Some(refusal);
                Some(Err(if refusal.code.outcome() == Outcome::NotRun {
                    self.failure_code(refusal.code, Code::UpstreamClosed)
                } else {
                    refusal.code
                }))
            }
            PeerResult::NotTaken => None,
            PeerResult::Lost(error) => {
                self.may_have_run = true;
                if error == ResponseError::Timeout {
                    return Some(Err(Code::UpstreamTimeout));
                }
                let may_retry = self.route.idempotent && self.reserve_retry(self.retry_share());
                (!may_retry).then_some(Err(Code::UpstreamClosed))
            }
        }
    }

    /// Leaves the request to the retry budget of the instance that it was forwarded through.
    fn move_request_to_peer(&self) {
        let refund = balance::RetryBudget::refund_request;
        self.state.with_budget(self.service, refund);
    }

    /// Returns `None` if the request must not be sent, because it crashes targets or may do so and is in
    /// progress here already.
    fn begin_trial(&self) -> Option<SuspectTrial> {
        SuspectTrial::begin(self.state, self.request.hash)
    }

    /// Sends the request to `selected` and waits for the result. If the route is idempotent and the
    /// result takes too long, sends a hedge to a second target, returns the first good result and
    /// cancels the other attempt.
    async fn send_with_hedge(&mut self, selected: SelectedTarget) -> (Attempt, SendResult) {
        if self.route.idempotent && self.tried.is_empty() {
            hedging::record_request(self.state, self.service);
        }
        let hedge_delay_ms = self.hedge_delay_ms(&selected);
        let mut first = self.start_attempt(selected);
        let hedge_delay = Duration::from_secs_f64(hedge_delay_ms / 1_000.0);
        let started = first.started;
        let (done, result) = match timeout(hedge_delay, first.result()).await {
            Ok(result) => (first, result),
            Err(_) => self.hedge(first).await,
        };
        let is_timeout = matches!(result, SendResult::NoResponse(ResponseError::Timeout));
        if is_good(&result) || is_timeout {
            hedging::record_latency(self.state, self.route, started);
        }
        (done, result)
    }

    /// Sends a hedge to a second target while `first` goes on, if the route is idempotent and nothing
    /// holds the hedge back. Returns the result of [`Self::send_with_hedge`].
    async fn hedge(&mut self, mut first: Attempt) -> (Attempt, SendResult) {
        first.record_overdue();
        let second = if !self.route.idempotent {
            None
        } else if first.may_have_crashed() {
            hedging::record_held(self.state, self.id(), self.service, HoldReason::Suspect);
            None
        } else {
            self.select_hedge().await
        };
        let Some(second) = second else {
            let result = first.result().await;
            return (first, result);
        };
        // Nothing has polled the first attempt while a target was selected.
        let ended = first.result().now_or_never();
        if ended.is_some() || first.may_have_crashed() {
            self.permit = None;
            let Some(result) = ended else {
                hedging::record_held(self.state, self.id(), self.service, HoldReason::Suspect);
                let result = first.result().await;
                return (first, result);
            };
            return (first, result);
        }
        self.state.metrics.count("hedges", 1);
        let after_ms = self.state.now().since_us(first.started) as f64 / 1_000.0;
        hedging::record_sent(self.state, self.id(), &second, after_ms);
        let second = self.start_attempt(second);
        self.race_attempts(first, second).await
    }

    /// Returns the time after which a hedge is sent, so that it can still meet the objective.
    fn hedge_delay_ms(&self, selected: &SelectedTarget) -> f64 {
        let left_ms = self.route.objective_ms as f64 - self.waited_ms();
        let expected_ms = selected.estimate.latency_ms;
        hedging::delay_ms(self.state, self.service, self.route, expected_ms, left_ms)
    }

    /// Selects a target for a hedge that can start the request at once, if the budget allows one. A
    /// hedge would take the turn of a first attempt at a target that states a limit.
    async fn select_hedge(&mut self) -> Option<SelectedTarget> {
        if let Err(reason) = self.reserve_hedge() {
            hedging::record_held(self.state, self.id(), self.service, reason);
            return None;
        }
        let criteria = Criteria {
            may_be_limited: false,
            ..self.criteria(self.is_assigned())
        };
        let selected = select_target(self.state, &criteria).await;
        let fits = |selected: &SelectedTarget| {
            selected.estimate.slot_free && selected.estimate.latency_ms < self.remaining_ms()
        };
        let selected = selected.filter(fits);
        if selected.is_none() {
            self.permit = None;
            hedging::record_held(self.state, self.id(), self.service, HoldReason::NoTarget);
        }
        selected
    }

    /// Takes a permit for a hedge, unless there is a reason to hold it back.
    fn reserve_hedge(&mut self) -> Result<(), HoldReason> {
        let is_suspect = suspicion(self.state, self.request.hash) != Suspicion::Clear;
        if self.state.hedging.policy().is_none() {
            let is_reserved = !is_suspect && self.reserve_retry(HEDGE_BUDGET_SHARE);
            return is_reserved.then_some(()).ok_or(HoldReason::RetryBudget);
        }
        if let Some(reason) = hedging::hold_reason(self.state, self.service, is_suspect) {
            return Err(reason);
        }
        if !self.may_attempt_again() {
            return Err(HoldReason::Exhausted);
        }
        let permit = AttemptPermit::take_for_hedge(self.state, self.service, HEDGE_BUDGET_SHARE)?;
        self.permit = Some(permit);
        Ok(())
    }

    /// Returns the first good result of two attempts. If the first result is not good, waits for
    /// the other one.
    async fn race_attempts(
        &mut self,
        mut first: Attempt,
        mut second: Attempt,
    ) -> (Attempt, SendResult) {
        let winner = select(first.result(), second.result()).await;
        let (mut done, result, mut other) = match winner {
            Either::Left((result, _)) => (first, result, second),
            Either::Right((result, _)) => (second, result, first),
        };
        if is_good(&result) {
            let took_us = self.state.now().since_us(other.started);
            self.attempt_log
                .record(&other.selected, "overtaken", took_us);
            let is_first = other.started < done.started;
            hedging::record_cancelled(self.state, is_first, took_us);
            if is_slow(&other.selected, took_us) {
                self.record_outcome(&other.selected, false);
            }
            return (done, result);
        }
        let took_us = self.state.now().since_us(done.started);
        self.attempt_log.record(&done.selected, "failed", took_us);
        if matches!(result, SendResult::NotSent(_) | SendResult::NoRoom) {
            self.attempt_log.attempts -= 1;
            self.attempt_log.unsent += u32::from(matches!(result, SendResult::NotSent(_)));
            AttemptPermit::refund_hedge(self.state, self.service);
        } else if !states_not_run(&result) {
            self.may_have_run = true;
            self.record_failure(&done.selected, &result);
        }
        std::mem::swap(&mut done, &mut other);
        let result = done.result().await;
        (done, result)
    }

    /// Starts an attempt at `selected` and uses the permit, if the attempt needs one.
    fn start_attempt(&mut self, selected: SelectedTarget) -> Attempt {
        self.attempt_log.attempts += 1;
        if let Some(permit) = self.permit.take() {
            permit.consume();
        }
        self.tried.push(selected.id.clone());
        info!(target: REQUESTS, event = "sent", id = self.id().unwrap_or("-"),
            attempt = self.attempt_log.attempts, target_id = %selected.id, service = %self.service,
            workspace = self.request.caller.workspace().map(|w| &*w.name),
            expected_ms = selected.estimate.latency_ms.round(), free = selected.estimate.slot_free,
            pace = selected.slowdown_percent, load_age_us = selected.report_age_us,
            new_version = is_new_version(self.state, self.service, &selected.version), limit = selected.limit.map(|l| l.rate),
            limit_age_ms = selected.limit.map(|l| l.age_ms),
            limit_share = selected.limit.map(|l| l.own_rate), left_ms = self.remaining_ms().round(),
            config = self.state.config_version(), orders_age_ms = operator_age_ms(self.state),
            era = self.state.entries.borrow().era(),
            entries = self.state.entries_next().unwrap_or_default(),
            entries_age_ms = self.state.entries_age_us().unwrap_or_default() / 1_000);
        Attempt::start(
            self.state,
            self.service,
            self.route,
            self.request,
            selected,
            self.state.deadline_in_stop(self.deadline),
        )
    }

    fn id(&self) -> Option<&str> {
        let sent = &self.request.request.message.headers;
        sent.single_value(headers::REQUEST_ID)
    }

    /// Selects the next target. Falls back to the old version if the new one has no target and the
    /// old one may still get requests.
    async fn select_target(&mut self) -> Result<SelectedTarget, Code> {
        let is_new = self.is_assigned();
        let mut selected = select_target(self.state, &self.criteria(is_new)).await;
        if selected.is_none() && is_new && !self.needs_new_version() {
            self.order = None;
            selected = select_target(self.state, &self.criteria(false)).await;
        }
        let Some(selected) = selected else {
            let is_limited = limited_rate(self.state, self.service).is_some()
                || reopens_ms(self.state, self.service).is_some();
            let reason = if is_limited {
                Code::LimitReached
            } else {
                Code::NoTarget
            };
            return Err(self.failure_code(reason, Code::UpstreamClosed));
        };
        Ok(selected)
    }

    /// Waits for a target that is expected to respond in time. Refuses the request early enough for
    /// the caller to retry; a request that is certain to be late would only delay others.
    async fn await_admission(&mut self) -> Result<SelectedTarget, Code> {
        // Only the first attempt draws on the room of the return order.
        let ask = self.ask.filter(|_| self.tried.is_empty());
        if ask.as_ref().is_some_and(is_too_late) {
            return Err(self.failure_code(Code::CannotMeet, Code::UpstreamClosed));
        }
        loop {
            let selected = self.select_target().await?;
            let waited_ms = self.waited_ms();
            let returns = ask.map(|ask| room_for(self.state, self.service, &ask));
            let admission = Admission::of(
                self.route,
                self.is_urgent,
                returns.as_ref(),
                waited_ms,
                &selected.estimate,
            );
            if admission == Admission::Admitted || self.may_have_run {
                if let Some(ask) = &ask {
                    record_admission(self.state, self.service, ask);
                }
                return Ok(selected);
            }
            if admission == Admission::Refused {
                return Err(self.failure_code(Code::CannotMeet, Code::UpstreamClosed));
            }
            task::sleep(Duration::from_secs_f64(RESELECT_INTERVAL_MS / 1_000.0)).await;
        }
    }

    fn waited_ms(&self) -> f64 {
        self.state.now().since_us(self.arrived) as f64 / 1_000.0
    }

    fn criteria(&self, new_version: bool) -> Criteria<'_> {
        Criteria {
            service: self.service,
            route: self.route,
            new_version,
            urgency_rank: self.urgency_rank,
            may_be_limited: true,
            tried: &self.tried,
        }
    }

    /// Whether the request goes to the new version of a rollout.
    fn is_assigned(&self) -> bool {
        is_assigned(self.state, self.service, self.order)
    }

    /// Whether the rollout is done, so that the old version gets no requests.
    fn needs_new_version(&self) -> bool {
        let rollouts = self.state.rollouts.borrow();
        rollouts
            .get(self.service)
            .is_some_and(|r| r.verdict == Verdict::Done)
    }

    fn remaining_ms(&self) -> f64 {
        self.deadline.since_us(self.state.now()) as f64 / 1_000.0
    }

    /// Returns `not_run` if no target can have run the request, otherwise `unknown`.
    fn failure_code(&self, not_run: Code, unknown: Code) -> Code {
        if self.may_have_run { unknown } else { not_run }
    }

    /// Returns the final result after one attempt, or `None` if another attempt follows.
    fn handle_result(
        &mut self,
        selected: &SelectedTarget,
        result: SendResult,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        match result {
            SendResult::NotSent(error) => {
                self.attempt_log.record(selected, "unsent", took_us);
                info!(target: REQUESTS, event = "target_unreachable", target_id = %selected.id, %error);
                if is_target_eligible(self.state, &selected.id) {
                    self.state.record_refused_connection(&selected.id);
                }
                self.attempt_log.attempts -= 1;
                if self.has_own_attempts() {
                    self.permit = Some(AttemptPermit::for_unsent(self.state, self.service));
                }
                self.attempt_log.unsent += 1;
                let may_be_forwarded = self.is_cut_off() && !self.is_forwarded();
                if self.attempt_log.unsent >= MAX_CONNECT_FAILURES && !may_be_forwarded {
                    return Some(Err(
                        self.failure_code(Code::ConnectFailed, Code::UpstreamClosed)
                    ));
                }
                None
            }
            SendResult::NoRoom => {
                self.attempt_log.record(selected, "no_room", took_us);
                self.attempt_log.attempts -= 1;
                if self.has_own_attempts() {
                    drop(AttemptPermit::for_unsent(self.state, self.service));
                }
                Some(Err(self.failure_code(Code::NoRoom, Code::UpstreamClosed)))
            }
            SendResult::Response(response) => self.handle_response(selected, *response, took_us),
            SendResult::NoResponse(error) => self.handle_no_response(selected, error, took_us),
        }
    }

    /// Same as [`Self::handle_result`], for an attempt that got no complete response.
    fn handle_no_response(
        &mut self,
        selected: &SelectedTarget,
        error: ResponseError,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        let what = match error {
            ResponseError::Timeout => "timeout",
            ResponseError::Crashed => "crashed",
            ResponseError::NoRoom => "no_room",
            _ => "lost",
        };
        self.attempt_log.record(selected, what, took_us);
        self.may_have_run = true;
        self.record_failure(selected, &SendResult::NoResponse(error));
        if error == ResponseError::Timeout {
            return Some(Err(Code::UpstreamTimeout));
        }
        let may_retry =
            self.route.idempotent && suspicion(self.state, self.request.hash).allows_retry();
        if may_retry && self.reserve_retry(self.retry_share()) {
            return None;
        }
        Some(Err(match error {
            ResponseError::Malformed(_) | ResponseError::NoRoom => Code::BadAnswer,
            _ => Code::UpstreamClosed,
        }))
    }

    /// Same as [`Self::handle_result`], for an attempt that got a response.
    fn handle_response(
        &mut self,
        selected: &SelectedTarget,
        response: Response,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        self.reply = Some(Reply::Target {
            id: selected.id.clone(),
            born: selected.born,
        });
        record_reports(self.state, selected, &response);
        let is_signed = response.headers.has(headers::SIGNATURE);
        let has_own_id = response.headers.single_value(headers::REQUEST_ID) == self.id();
        if response.headers.has(headers::NOT_RUN) || response.status == 421 {
            self.attempt_log.record(selected, "shed", took_us);
            self.state.metrics.count("sheds", 1);
            if response.status == 421 {
                let now = self.state.now();
                self.state.targets.borrow_mut().remove(&selected.id, now);
                self.state.pool.close_all(selected.addr);
            }
            if self.reserve_retry(self.retry_share()) {
                return None;
            }
            return Some(Err(
                self.failure_code(Code::UpstreamRefused, Code::UpstreamClosed)
            ));
        }
        let is_valid = is_signed && has_own_id && !response.headers.has("content-encoding");
        self.may_have_run = true;
        let claims_not_run = claims_not_run(response.status);
        if is_valid && response.status < 500 && !claims_not_run {
            self.attempt_log.record(selected, "ok", took_us);
            record_processing_time(
                self.state,
                self.service,
                self.route,
                selected,
                &response,
                took_us,
            );
            self.record_outcome(selected, !is_slow(selected, took_us));
            return Some(Ok(response));
        }
        self.attempt_log.record(
            selected,
            if is_valid { "error" } else { "invalid" },
            took_us,
        );
        self.record_outcome(selected, false);
        if self.route.idempotent && self.reserve_retry(self.retry_share()) {
            return None;
        }
        let is_failure = response.status >= 500 || is_valid;
        Some(if has_own_id && is_failure && !claims_not_run {
            Ok(response)
        } else {
            Err(Code::UpstreamClosed)
        })
    }

    /// Returns the share of the retry budget that a retry of this request may use.
    fn retry_share(&self) -> f64 {
        if self.is_urgent {
            1.0
        } else {
            NON_URGENT_BUDGET_SHARE
        }
    }

    /// Takes a permit for an extra attempt if the route's attempts, the remaining time and `share`
    /// of the retry budget allow one. Returns whether they did.
    fn reserve_retry(&mut self, share: f64) -> bool {
        self.may_attempt_again() && self.take_permit(share)
    }

    /// Whether the route's attempts and the remaining time allow another attempt.
    fn may_attempt_again(&self) -> bool {
        let processing_ms = processing_ms(self.state, self.route);
        self.attempt_log.attempts < self.route.max_attempts
            && self.remaining_ms() > processing_ms * MIN_REMAINING_FACTOR
    }

    fn take_permit(&mut self, share: f64) -> bool {
        self.permit = AttemptPermit::take(self.state, self.service, share);
        self.permit.is_some()
    }

    /// Records a failed attempt, unless neither the target nor its version is at fault: the instance had no
    /// memory for the response, the request has crashed more than one target, or the instance is cut off.
    fn record_failure(&self, selected: &SelectedTarget, result: &SendResult) {
        if self.is_cut_off() {
            self.state.metrics.count("failures_when_cut_off", 1);
            return;
        }
        if matches!(result, SendResult::NoResponse(error) if !error.is_of_target()) {
            return;
        }
        let has_crashed = matches!(result, SendResult::NoResponse(ResponseError::Crashed));
        if !has_crashed || suspicion(self.state, self.request.hash).allows_retry() {
            self.record_outcome(selected, false);
        }
    }

    fn record_outcome(&self, selected: &SelectedTarget, is_good: bool) {
        record_outcome(self.state, self.service, self.route, selected, is_good);
    }
}

#[cfg(test)]
mod tests;
