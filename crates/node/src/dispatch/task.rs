//! The task that owns the dispatcher of one service. It passes events to the dispatcher and executes
//! the dispatcher's actions.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    task,
};
use futures::{
    FutureExt,
    future::{BoxFuture, Either, select},
};
use model::{TargetId, Time};
use policy::{Action, AttemptEnd, AttemptReport, CallId, Dispatcher, Event, ServiceView};
use tracing::debug;

use crate::{
    Token,
    context::Context,
    control::ControlEvent,
    dispatch::{
        DispatchMsg, Reply,
        attempt_summary::{AttemptSummary, TargetIndex},
        stats_reporter::StatsReporter,
    },
};

/// Interval of ticks while calls are queued or running.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Interval of ticks while there are no calls.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// State of the task of one service.
struct DispatcherTask {
    ctx: Arc<Context>,
    view: Arc<ServiceView>,
    dispatcher: Dispatcher,
    replies: HashMap<CallId, Sender<Reply>>,
    actions: Vec<Action>,
    /// Targets of `view` by id.
    targets: TargetIndex,
    attempt_summary: AttemptSummary,
    stats_reporter: StatsReporter,
    /// Ends of attempts whose start could not be delivered to a call.
    undelivered: VecDeque<Event>,
}

/// Starts the dispatcher task of a service. Returns the sender for its messages.
pub fn spawn_dispatcher(
    ctx: &Arc<Context>,
    cancel: &Token,
    view: Arc<ServiceView>,
) -> Sender<DispatchMsg> {
    let (sender, receiver) = unbounded();
    // A restarted process must not repeat the loan numbers of its predecessor.
    let process = format!("{}/{}", ctx.settings.instance, ctx.incarnation);
    let seed = model::rendezvous(view.name.as_str(), &process);
    let task = DispatcherTask {
        ctx: Arc::clone(ctx),
        dispatcher: Dispatcher::new(Arc::clone(&view), seed),
        targets: index_targets(&view),
        attempt_summary: AttemptSummary::default(),
        stats_reporter: StatsReporter::default(),
        view,
        replies: HashMap::new(),
        actions: Vec::new(),
        undelivered: VecDeque::new(),
    };
    let cancel = cancel.clone();
    task::spawn(async move {
        cancel.run(run(task, receiver)).await;
    });
    sender
}

async fn run(mut task: DispatcherTask, receiver: Receiver<DispatchMsg>) {
    let mut due = Instant::now() + IDLE_TICK;
    let mut timer = sleep_until(due);
    loop {
        let message = match select(receiver.recv().boxed(), &mut timer).await {
            Either::Left((Ok(message), _)) => Some(message),
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => None,
        };
        let expired = message.is_none();
        process_message(
            &mut task,
            message.unwrap_or(DispatchMsg::Event(Event::Tick)),
        );
        let interval = if task.replies.is_empty() {
            IDLE_TICK
        } else {
            BUSY_TICK
        };
        // Keeps a timer that fires early enough, because creating one for each message is costly.
        let next = Instant::now() + interval;
        if expired || next < due {
            due = next;
            timer = sleep_until(due);
        }
    }
}

fn sleep_until(due: Instant) -> BoxFuture<'static, ()> {
    task::sleep(due.saturating_duration_since(Instant::now())).boxed()
}

fn process_message(task: &mut DispatcherTask, msg: DispatchMsg) {
    let now = task.ctx.clock.now();
    let event = match msg {
        DispatchMsg::Arrive(call, reply) => {
            task.replies.insert(call.id, reply);
            Event::Arrive(call)
        }
        DispatchMsg::Ended {
            call,
            target,
            route,
            report,
        } => {
            if let Some(view) = task.targets.get(&target) {
                task.attempt_summary
                    .record(view, &route, report, task.view.active_move.is_some());
            }
            Event::Finish {
                call,
                target,
                report,
            }
        }
        DispatchMsg::Event(event) => event,
    };
    handle_event(task, now, event);
    while let Some(event) = task.undelivered.pop_front() {
        handle_event(task, now, event);
    }
    let service = task.view.name.as_str();
    task.stats_reporter
        .report(&task.ctx, now, service, &task.dispatcher);
    for event in task.attempt_summary.take(now, &task.view.name) {
        let _ = task.ctx.control.try_send(event);
    }
}

fn handle_event(task: &mut DispatcherTask, now: Time, event: Event) {
    if let Event::View(view) = &event {
        task.view = Arc::clone(view);
        task.targets = index_targets(view);
    }
    if let Event::Cancel { call } = &event {
        task.replies.remove(call);
    }
    task.dispatcher.handle(now, event, &mut task.actions);
    let mut actions = std::mem::take(&mut task.actions);
    for action in actions.drain(..) {
        execute(task, action);
    }
    task.actions = actions;
}

fn execute(task: &mut DispatcherTask, action: Action) {
    match action {
        Action::Start { call, target } => {
            deliver_start(task, call, &target);
        }
        Action::Refuse {
            call,
            code,
            retry_ms,
        } => {
            deliver_reply(task, call, Reply::Refuse { code, retry_ms });
            task.replies.remove(&call);
        }
        Action::GiveUp { call } => {
            deliver_reply(task, call, Reply::GiveUp);
            task.replies.remove(&call);
        }
        Action::Send { to, msg } => {
            let service = task.view.name.clone();
            task.ctx
                .peers
                .send(&to, wire::PeerMsg::Loan { service, msg });
        }
        Action::Draining {
            target,
            incarnation,
        } => {
            let fact = wire::Fact::Draining {
                target,
                incarnation,
            };
            let _ = task.ctx.control.try_send(ControlEvent::Fact(fact));
        }
    }
}

/// Delivers a start to its call. If the target is unknown or the call is gone, the attempt's end is
/// passed to the dispatcher at once, which frees the slot.
fn deliver_start(task: &mut DispatcherTask, call: CallId, target: &TargetId) {
    let Some(view) = task.targets.get(target).cloned() else {
        debug!(event = "start_unknown_target", call = call.0, %target);
        task.undelivered
            .push_back(undelivered_end(call, target, AttemptEnd::ConnectFailed));
        return;
    };
    if !deliver_reply(task, call, Reply::Start(view)) {
        task.undelivered
            .push_back(undelivered_end(call, target, AttemptEnd::Cancelled));
    }
}

/// Creates the event for the end of an attempt that was never sent.
fn undelivered_end(call: CallId, target: &TargetId, end: AttemptEnd) -> Event {
    let report = AttemptReport {
        end,
        service_us: 0,
        retryable: end.is_not_run(),
        draining: false,
        cold: false,
    };
    Event::Finish {
        call,
        target: target.clone(),
        report,
    }
}

/// Delivers a reply to its call. Returns `false` if the call is gone.
fn deliver_reply(task: &DispatcherTask, call: CallId, reply: Reply) -> bool {
    let sender = task.replies.get(&call);
    sender.is_some_and(|s| s.try_send(reply).is_ok())
}

fn index_targets(view: &ServiceView) -> TargetIndex {
    view.targets
        .iter()
        .map(|t| (t.id.clone(), Arc::clone(t)))
        .collect()
}

#[cfg(test)]
mod tests;
