//! The sends of one request: which targets, when again, and what is concluded.

use std::{rc::Rc, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use balance::{AdmissionLimits, Route, Verdict};
use futures::future::{Either, select};
use h1::{Request, Response};
use model::{Code, ServiceName, TargetId, Time};
use platform::headers;
use tracing::info;

use crate::{
    attempt::{Attempt, is_good, is_unrun},
    attempt_log::AttemptLog,
    attempt_permit::AttemptPermit,
    exchange::{ResponseError, SendResult},
    outcome::{claims_not_run, is_slow, record_outcome, record_processing_time, record_reports},
    selection::{Criteria, SelectedTarget, is_target_eligible, processing_ms, select_target},
    state::State,
};

/// Connections that a request may fail to open before it is refused. Such tries reach no target.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Shortest time that is worth another attempt, as a part of the route's work time.
const MIN_REMAINING_FACTOR: f64 = 0.8;
/// Part of the budget that second sends of slow requests may use. Requests that failed need the rest.
const HEDGE_BUDGET_SHARE: f64 = 0.6;
/// Part of the budget for less urgent requests that failed.
const NON_URGENT_BUDGET_SHARE: f64 = 0.85;
/// Pause before another look for a target while all that were asked are busy, in milliseconds. A slot
/// of two dozen targets becomes free every few milliseconds.
const RESELECT_INTERVAL_MS: f64 = 7.0;

/// One request on its way.
pub struct Forwarder<'a> {
    /// State of the instance.
    pub state: &'a Rc<State>,
    /// The request.
    pub request: &'a Request,
    /// Its route.
    pub route: &'a Arc<Route>,
    /// Service that it goes to.
    pub service: &'a ServiceName,
    /// End of its time.
    pub deadline: Time,
    /// When it arrived.
    pub arrived: Time,
    /// Whether no route is more urgent.
    pub is_urgent: bool,
    /// Whether it goes to the new version of a rollout.
    pub new_version: bool,
    /// Leave for another send, once taken.
    pub permit: Option<AttemptPermit>,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Whether a target may have run it.
    pub may_have_run: bool,
    /// What became of it so far.
    pub attempt_log: &'a mut AttemptLog,
}

impl Forwarder<'_> {
    /// Sends the request until there is a final result.
    pub async fn run(&mut self) -> Result<Response, Code> {
        loop {
            let selected = self.await_admission().await?;
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

    /// Sends the request and waits for a result. One that may be repeated and takes too long is sent to
    /// a second target as well; the first good result counts, and the other send is cancelled.
    async fn send_with_hedge(&mut self, selected: SelectedTarget) -> (Attempt, SendResult) {
        let hedge_delay_ms = self.hedge_delay_ms(&selected);
        let mut first = self.start_attempt(selected);
        if !self.route.idempotent {
            let result = first.result().await;
            return (first, result);
        }
        let hedge_delay = Duration::from_secs_f64(hedge_delay_ms / 1_000.0);
        if let Ok(result) = timeout(hedge_delay, first.result()).await {
            return (first, result);
        }
        let Some(second) = self.select_hedge().await else {
            let result = first.result().await;
            return (first, result);
        };
        self.state.metrics.count("hedges", 1);
        let second = self.start_attempt(second);
        self.race_attempts(first, second).await
    }

    /// Time after which a second target is tried, so that it can still respond within the objective.
    fn hedge_delay_ms(&self, selected: &SelectedTarget) -> f64 {
        let left_ms = self.route.objective_ms as f64 - self.waited_ms();
        balance::hedge_delay_ms(
            selected.estimate.latency_ms,
            left_ms,
            processing_ms(self.state, self.route),
        )
    }

    /// A second target that can start at once, if the budget allows one.
    async fn select_hedge(&mut self) -> Option<SelectedTarget> {
        if !self.reserve_retry(HEDGE_BUDGET_SHARE) {
            return None;
        }
        let selected = select_target(self.state, &self.criteria(self.new_version)).await;
        let fits = |selected: &SelectedTarget| {
            selected.estimate.slot_free && selected.estimate.latency_ms < self.remaining_ms()
        };
        let selected = selected.filter(fits);
        if selected.is_none() {
            self.permit = None;
        }
        selected
    }

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
            if is_slow(&other.selected, took_us) {
                self.record_outcome(&other.selected, false);
            }
            return (done, result);
        }
        let took_us = self.state.now().since_us(done.started);
        self.attempt_log.record(&done.selected, "failed", took_us);
        if !matches!(result, SendResult::NotSent(_)) && !is_unrun(&result) {
            self.may_have_run = true;
            self.record_outcome(&done.selected, false);
        }
        std::mem::swap(&mut done, &mut other);
        let result = done.result().await;
        (done, result)
    }

    fn start_attempt(&mut self, selected: SelectedTarget) -> Attempt {
        self.attempt_log.attempts += 1;
        if let Some(permit) = self.permit.take() {
            permit.consume();
        }
        self.tried.push(selected.id.clone());
        info!(event = "sent", id = self.id().unwrap_or("-"), attempt = self.attempt_log.attempts,
            target_id = %selected.id, service = %self.service, expected_ms = selected.estimate.latency_ms.round(),
            free = selected.estimate.slot_free, pace = selected.slowdown_percent, load_age_us = selected.report_age_us,
            new_version = selected.new_version, left_ms = self.remaining_ms().round());
        Attempt::start(
            self.state,
            self.service,
            self.request,
            selected,
            self.deadline,
        )
    }

    fn id(&self) -> Option<&str> {
        self.request.headers.single_value(headers::REQUEST_ID)
    }

    async fn select_target(&mut self) -> Result<SelectedTarget, Code> {
        let mut selected = select_target(self.state, &self.criteria(self.new_version)).await;
        if selected.is_none() && self.new_version && !self.needs_new_version() {
            self.new_version = false;
            selected = select_target(self.state, &self.criteria(false)).await;
        }
        let Some(selected) = selected else {
            return Err(self.failure_code(Code::NoTarget, Code::UpstreamClosed));
        };
        Ok(selected)
    }

    /// A target that is expected to respond in time, or a refusal early enough for the caller to come
    /// back. Requests that are sure to be late would only make others late.
    async fn await_admission(&mut self) -> Result<SelectedTarget, Code> {
        loop {
            let selected = self.select_target().await?;
            let waited_ms = self.waited_ms();
            let limits = AdmissionLimits::for_route(self.route, self.is_urgent);
            if limits.admits(waited_ms, &selected.estimate) || self.may_have_run {
                return Ok(selected);
            }
            if waited_ms + RESELECT_INTERVAL_MS > limits.wait_ms {
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
            tried: &self.tried,
        }
    }

    /// Whether the old version may get nothing any more.
    fn needs_new_version(&self) -> bool {
        let rollouts = self.state.rollouts.borrow();
        rollouts
            .get(self.service)
            .is_some_and(|r| r.verdict == Verdict::Done)
    }

    fn remaining_ms(&self) -> f64 {
        self.deadline.since_us(self.state.now()) as f64 / 1_000.0
    }

    /// The refusal that is true: `unrun` only if no target can have run the request.
    fn failure_code(&self, unrun: Code, unknown: Code) -> Code {
        if self.may_have_run { unknown } else { unrun }
    }

    /// What follows from one send; `None` for another attempt.
    fn handle_result(
        &mut self,
        selected: &SelectedTarget,
        result: SendResult,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        match result {
            SendResult::NotSent(error) => {
                self.attempt_log.record(selected, "unsent", took_us);
                info!(event = "target_unreachable", target_id = %selected.id, %error);
                if is_target_eligible(self.state, &selected.id) {
                    self.state.record_refused_connection(&selected.id);
                }
                self.attempt_log.attempts -= 1;
                if self.attempt_log.attempts > 0 {
                    self.permit = Some(AttemptPermit::for_unsent(self.state, self.service));
                }
                self.attempt_log.unsent += 1;
                if self.attempt_log.unsent >= MAX_CONNECT_FAILURES {
                    return Some(Err(
                        self.failure_code(Code::ConnectFailed, Code::UpstreamClosed)
                    ));
                }
                None
            }
            SendResult::Response(response) => self.handle_response(selected, *response, took_us),
            SendResult::NoResponse(error) => {
                self.attempt_log.record(
                    selected,
                    if error == ResponseError::Timeout {
                        "timeout"
                    } else {
                        "lost"
                    },
                    took_us,
                );
                self.may_have_run = true;
                self.record_outcome(selected, false);
                if error == ResponseError::Timeout {
                    return Some(Err(Code::UpstreamTimeout));
                }
                if self.route.idempotent && self.reserve_retry(self.retry_share()) {
                    return None;
                }
                Some(Err(match error {
                    ResponseError::Malformed(_) => Code::BadAnswer,
                    _ => Code::UpstreamClosed,
                }))
            }
        }
    }

    fn handle_response(
        &mut self,
        selected: &SelectedTarget,
        response: Response,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        record_reports(self.state, selected, &response);
        if response.headers.has(headers::NOT_RUN) || response.status == 421 {
            self.attempt_log.record(selected, "shed", took_us);
            self.state.metrics.count("sheds", 1);
            if response.status == 421 {
                self.state.targets.borrow_mut().remove(&selected.id);
                self.state.pool.forget(selected.addr);
            }
            if self.reserve_retry(self.retry_share()) {
                return None;
            }
            return Some(Err(
                self.failure_code(Code::UpstreamRefused, Code::UpstreamClosed)
            ));
        }
        let is_signed = response.headers.has(headers::SIGNATURE);
        let is_own = response.headers.single_value(headers::REQUEST_ID) == self.id();
        let is_proper = is_signed && is_own && !response.headers.has("content-encoding");
        self.may_have_run = true;
        let claims_not_run = claims_not_run(response.status);
        if is_proper && response.status < 500 && !claims_not_run {
            self.attempt_log.record(selected, "ok", took_us);
            record_processing_time(self.state, self.route, selected, &response, took_us);
            self.record_outcome(selected, !is_slow(selected, took_us));
            return Some(Ok(response));
        }
        self.attempt_log.record(
            selected,
            if is_proper { "error" } else { "invalid" },
            took_us,
        );
        self.record_outcome(selected, false);
        if self.route.idempotent && self.reserve_retry(self.retry_share()) {
            return None;
        }
        let is_failure = response.status >= 500 || is_proper;
        Some(if is_own && is_failure && !claims_not_run {
            Ok(response)
        } else {
            Err(Code::UpstreamClosed)
        })
    }

    /// Part of the budget for another send after a failure.
    fn retry_share(&self) -> f64 {
        if self.is_urgent {
            1.0
        } else {
            NON_URGENT_BUDGET_SHARE
        }
    }

    /// Whether another send fits attempts, time and `part` of the budget; takes leave for it.
    fn reserve_retry(&mut self, share: f64) -> bool {
        let processing_ms = processing_ms(self.state, self.route);
        self.attempt_log.attempts < self.route.max_attempts
            && self.remaining_ms() > processing_ms * MIN_REMAINING_FACTOR
            && self.take_permit(share)
    }

    fn take_permit(&mut self, share: f64) -> bool {
        self.permit = AttemptPermit::take(self.state, self.service, share);
        self.permit.is_some()
    }

    fn record_outcome(&self, selected: &SelectedTarget, is_good: bool) {
        record_outcome(self.state, self.service, self.route, selected, is_good);
    }
}
