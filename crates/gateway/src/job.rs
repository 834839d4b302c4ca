//! The sends of one request: which targets, when again, and what is concluded.

use std::{rc::Rc, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use balance::{AdmissionLimits, Route, Verdict, hedge_delay_ms};
use futures::future::{Either, select};
use h1::{Request, Response};
use model::{Code, ServiceName, TargetId, Time};
use platform::headers;
use tracing::info;

use crate::{
    choose::{Pick, Wish, choose, may_send, work_ms},
    exchange::{Loss, Sent},
    extra::Extra,
    flight::{Flight, is_good, is_unrun},
    outcome::{is_promise, is_slow, judge, learn, note_work},
    state::State,
    story::Story,
};

/// Connections that a request may fail to open before it is refused. Such tries reach no target.
const MAX_UNSENT: u32 = 3;
/// Shortest time that is worth another attempt, as a part of the route's work time.
const MIN_LEFT: f64 = 0.8;
/// Part of the budget that second sends of slow requests may use. Requests that failed need the rest.
const HEDGE_PART: f64 = 0.6;
/// Part of the budget for less urgent requests that failed.
const OTHER_PART: f64 = 0.85;
/// Pause before another look for a target while all that were asked are busy, in milliseconds. A slot
/// of two dozen targets becomes free every few milliseconds.
const RETRY_PICK_MS: f64 = 7.0;

/// One request on its way.
pub struct Job<'a> {
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
    pub is_new: bool,
    /// Leave for another send, once taken.
    pub extra: Option<Extra>,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Whether a target may have run it.
    pub may_have_run: bool,
    /// What became of it so far.
    pub story: &'a mut Story,
}

impl Job<'_> {
    /// Sends the request until there is a final result.
    pub async fn run(&mut self) -> Result<Response, Code> {
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
        let patience_ms = self.patience_ms(&pick);
        let mut first = self.launch(pick);
        if !self.route.idempotent {
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

    /// Time after which a second target is tried, so that it can still respond within the objective.
    fn patience_ms(&self, pick: &Pick) -> f64 {
        let left_ms = self.route.objective_ms as f64 - self.waited_ms();
        hedge_delay_ms(
            pick.outlook.latency_ms,
            left_ms,
            work_ms(self.state, self.route),
        )
    }

    /// A second target that can start at once, if the budget allows one.
    async fn pick_second(&mut self) -> Option<Pick> {
        if !self.may_retry(HEDGE_PART) {
            return None;
        }
        let pick = choose(self.state, &self.wish(self.is_new)).await;
        let fits = |pick: &Pick| pick.outlook.slot_free && pick.outlook.latency_ms < self.left_ms();
        let pick = pick.filter(fits);
        if pick.is_none() {
            self.extra = None;
        }
        pick
    }

    async fn first_good(&mut self, mut first: Flight, mut second: Flight) -> (Flight, Sent) {
        let winner = select(first.result(), second.result()).await;
        let (mut done, sent, mut other) = match winner {
            Either::Left((sent, _)) => (first, sent, second),
            Either::Right((sent, _)) => (second, sent, first),
        };
        if is_good(&sent) {
            let took_us = self.state.now().since_us(other.started);
            self.story.note(&other.pick, "overtaken", took_us);
            if is_slow(&other.pick, took_us) {
                self.judge(&other.pick, false);
            }
            return (done, sent);
        }
        let took_us = self.state.now().since_us(done.started);
        self.story.note(&done.pick, "failed", took_us);
        if !matches!(sent, Sent::Unsent(_)) && !is_unrun(&sent) {
            self.may_have_run = true;
            self.judge(&done.pick, false);
        }
        std::mem::swap(&mut done, &mut other);
        let sent = done.result().await;
        (done, sent)
    }

    fn launch(&mut self, pick: Pick) -> Flight {
        self.story.attempts += 1;
        if let Some(extra) = self.extra.take() {
            extra.spend();
        }
        self.tried.push(pick.id.clone());
        info!(event = "sent", id = self.id().unwrap_or("-"), attempt = self.story.attempts,
            target_id = %pick.id, service = %self.service, expected_ms = pick.outlook.latency_ms.round(),
            free = pick.outlook.slot_free, pace = pick.pace, load_age_us = pick.age_us,
            new_version = pick.is_new, left_ms = self.left_ms().round());
        Flight::launch(self.state, self.service, self.request, pick, self.deadline)
    }

    fn id(&self) -> Option<&str> {
        self.request.headers.single_value(headers::REQUEST_ID)
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
            let limits = AdmissionLimits::for_route(self.route, self.is_urgent);
            if limits.admits(waited_ms, &pick.outlook) || self.may_have_run {
                return Ok(pick);
            }
            if waited_ms + RETRY_PICK_MS > limits.wait_ms {
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
            route: self.route,
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

    /// What follows from one send; `None` for another attempt.
    fn conclude(
        &mut self,
        pick: &Pick,
        sent: Sent,
        took_us: u64,
    ) -> Option<Result<Response, Code>> {
        match sent {
            Sent::Unsent(error) => {
                self.story.note(pick, "unsent", took_us);
                info!(event = "target_unreachable", target_id = %pick.id, %error);
                if may_send(self.state, &pick.id) {
                    self.state.note_down(&pick.id);
                }
                self.story.attempts -= 1;
                if self.story.attempts > 0 {
                    self.extra = Some(Extra::of_unsent(self.state, self.service));
                }
                self.story.unsent += 1;
                if self.story.unsent >= MAX_UNSENT {
                    return Some(Err(self.give_up(Code::ConnectFailed, Code::UpstreamClosed)));
                }
                None
            }
            Sent::Response(response) => self.conclude_response(pick, *response, took_us),
            Sent::Lost(loss) => {
                self.story.note(
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
                if self.route.idempotent && self.may_retry(self.retry_part()) {
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
        learn(self.state, pick, &response);
        if response.headers.has(headers::NOT_RUN) || response.status == 421 {
            self.story.note(pick, "shed", took_us);
            self.state.metrics.count("sheds", 1);
            if response.status == 421 {
                self.state.targets.borrow_mut().remove(&pick.id);
                self.state.pool.forget(pick.addr);
            }
            if self.may_retry(self.retry_part()) {
                return None;
            }
            return Some(Err(
                self.give_up(Code::UpstreamRefused, Code::UpstreamClosed)
            ));
        }
        let is_signed = response.headers.has(headers::SIGNATURE);
        let is_own = response.headers.single_value(headers::REQUEST_ID) == self.id();
        let is_proper = is_signed && is_own && !response.headers.has("content-encoding");
        self.may_have_run = true;
        let is_promise = is_promise(response.status);
        if is_proper && response.status < 500 && !is_promise {
            self.story.note(pick, "ok", took_us);
            note_work(self.state, self.route, pick, &response, took_us);
            self.judge(pick, !is_slow(pick, took_us));
            return Some(Ok(response));
        }
        self.story
            .note(pick, if is_proper { "error" } else { "invalid" }, took_us);
        self.judge(pick, false);
        if self.route.idempotent && self.may_retry(self.retry_part()) {
            return None;
        }
        let is_failure = response.status >= 500 || is_proper;
        Some(if is_own && is_failure && !is_promise {
            Ok(response)
        } else {
            Err(Code::UpstreamClosed)
        })
    }

    /// Part of the budget for another send after a failure.
    fn retry_part(&self) -> f64 {
        if self.is_urgent { 1.0 } else { OTHER_PART }
    }

    /// Whether another send fits attempts, time and `part` of the budget; takes leave for it.
    fn may_retry(&mut self, part: f64) -> bool {
        let work_ms = work_ms(self.state, self.route);
        self.story.attempts < self.route.max_attempts
            && self.left_ms() > work_ms * MIN_LEFT
            && self.take_extra(part)
    }

    fn take_extra(&mut self, part: f64) -> bool {
        self.extra = Extra::take(self.state, self.service, part);
        self.extra.is_some()
    }

    fn judge(&self, pick: &Pick, is_good: bool) {
        judge(self.state, self.service, self.route, pick, is_good);
    }
}
