//! Test bed: one dispatcher with a clock, and helpers that send events to it and read its actions.

use model::{Class, Code};

use crate::{
    Action, ActiveMove, AttemptEnd, AttemptReport, Call, CallId, Dispatcher, Event, ServiceView,
    TargetState, TargetView,
};
use model::{InstanceId, TargetId, Time};
use std::sync::Arc;
use wire::LoanMsg;

pub const URGENT: usize = 0;
pub const CONFIRM: usize = 1;
pub const BULK: usize = 2;

/// A dispatcher with its clock and its latest view.
pub struct TestBed {
    pub now: Time,
    pub view: ServiceView,
    pub dispatcher: Dispatcher,
    next_call: u64,
}

/// Returns the classes: tight `urgent`, tight and not idempotent `confirm`, loose `bulk`.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, target_ms, delay_ms, idempotent| Class {
        name: name.into(),
        target_ms,
        delay_ms,
        idempotent,
        timeout_ms: 1_000,
    };
    vec![
        class("urgent", 40, 15, true),
        class("confirm", 60, 20, false),
        class("bulk", 2_000, 1_500, true),
    ]
}

/// Returns target `t-{n}` with 3 slots in zone `a`, owned by `owner`.
pub fn target(n: usize, owner: &str) -> TargetView {
    TargetView {
        id: TargetId::new(&format!("t-{n}")),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        region: "r".into(),
        version: "v1".into(),
        slots: 3,
        state: TargetState::Usable,
        owner: owner.into(),
    }
}

/// Returns the view of instance `me` with `me` as the only owner.
pub fn view(targets: Vec<TargetView>) -> ServiceView {
    ServiceView {
        list_version: 1,
        name: "orders".into(),
        me: "me".into(),
        zone: "a".into(),
        classes: classes(),
        targets: targets.into_iter().map(Arc::new).collect(),
        owners: vec!["me".into()],
        version: "v1".into(),
        active_move: None,
    }
}

impl TestBed {
    /// Creates a dispatcher with cold targets that has not received any event.
    pub fn new(view: ServiceView) -> Self {
        Self {
            now: Time::from_ms(1_000),
            dispatcher: Dispatcher::new(Arc::new(view.clone()), 1),
            view,
            next_call: 0,
        }
    }

    /// Creates a dispatcher that owns `count` targets, all of them warm.
    pub fn warm(count: usize) -> Self {
        Self::warm_with(view((0..count).map(|n| target(n, "me")).collect()))
    }

    /// Creates a dispatcher with the view, and with all targets warm.
    pub fn warm_with(view: ServiceView) -> Self {
        let mut bed = Self::new(view);
        bed.tick();
        for target in bed.dispatcher.targets.values_mut() {
            target.limit.adopt(target.view.slots);
        }
        bed
    }

    /// Sends an event. Returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        out
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::Tick)
    }

    /// Advances the clock by `ms` with a tick every 100 ms. Returns all actions.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(100).min(end);
            out.extend(self.tick());
        }
        out
    }

    /// Changes the view and sends it with the next version.
    pub fn set_view(&mut self, change: impl FnOnce(&mut ServiceView)) -> Vec<Action> {
        change(&mut self.view);
        self.view.list_version += 1;
        self.handle(Event::View(Arc::new(self.view.clone())))
    }

    /// Changes target `n` of the view and sends the view.
    pub fn set_target(&mut self, n: usize, change: impl FnOnce(&mut TargetView)) -> Vec<Action> {
        self.set_view(|v| change(Arc::make_mut(&mut v.targets[n])))
    }

    /// Returns a new call with a deadline in 1 s, each from another caller.
    pub fn call(&mut self, class: usize) -> Call {
        self.next_call += 1;
        Call {
            id: CallId(self.next_call),
            class,
            caller: self.next_call,
            bytes: 100,
            arrived: self.now,
            deadline: self.now.plus_ms(1_000),
            replayable: true,
            retries: 2,
        }
    }

    /// Sends a new call. Returns the actions.
    pub fn arrive(&mut self, class: usize) -> Vec<Action> {
        let call = self.call(class);
        self.handle(Event::Arrive(call))
    }

    /// Sends a call that must start immediately. Returns its number and target.
    pub fn start(&mut self, class: usize) -> (CallId, TargetId) {
        let out = self.arrive(class);
        starts(&out)
            .pop()
            .unwrap_or_else(|| panic!("no start in {out:?}"))
    }

    /// Sends the end of an attempt. Returns the actions.
    pub fn finish(&mut self, started: &(CallId, TargetId), end: AttemptEnd) -> Vec<Action> {
        self.finish_with(started, end, |_| {})
    }

    /// Sends the end of an attempt with a changed report. Returns the actions.
    pub fn finish_with(
        &mut self,
        started: &(CallId, TargetId),
        end: AttemptEnd,
        change: impl FnOnce(&mut AttemptReport),
    ) -> Vec<Action> {
        let mut report = AttemptReport {
            end,
            service_us: 10_000,
            retryable: true,
            draining: false,
            cold: false,
        };
        change(&mut report);
        self.handle(Event::Finish {
            call: started.0,
            target: started.1.clone(),
            report,
        })
    }

    /// Sends a message from a peer. Returns the actions.
    pub fn peer(&mut self, from: &str, msg: LoanMsg) -> Vec<Action> {
        self.handle(Event::Peer {
            from: from.into(),
            msg,
        })
    }

    /// Returns the limit of target `n` if this instance controls its slots.
    pub fn limit(&self, n: usize) -> Option<u32> {
        let id = TargetId::new(&format!("t-{n}"));
        self.dispatcher.stats().limits.get(&id).copied()
    }

    /// Returns the number of calls refused with the code.
    pub fn refused(&self, code: Code) -> u64 {
        let refused = self.dispatcher.stats().refused;
        refused.get(&code).copied().unwrap_or(0)
    }
}

/// Returns the started attempts among the actions: call and target.
pub fn starts(out: &[Action]) -> Vec<(CallId, TargetId)> {
    let start = |a: &Action| match a {
        Action::Start { call, target } => Some((*call, target.clone())),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

/// Returns the sent messages among the actions, with their recipients.
pub fn sent(out: &[Action]) -> Vec<(InstanceId, LoanMsg)> {
    let send = |a: &Action| match a {
        Action::Send { to, msg } => Some((to.clone(), msg.clone())),
        _ => None,
    };
    out.iter().filter_map(send).collect()
}

/// Returns the refusals among the actions: call, code and advised delay in milliseconds.
pub fn refusals(out: &[Action]) -> Vec<(CallId, Code, u32)> {
    let refuse = |a: &Action| match a {
        Action::Refuse {
            call,
            code,
            retry_ms,
        } => Some((*call, *code, *retry_ms)),
        _ => None,
    };
    out.iter().filter_map(refuse).collect()
}

/// Returns the number of calls given up among the actions.
pub fn give_ups(out: &[Action]) -> usize {
    let give_up = |a: &&Action| matches!(a, Action::GiveUp { .. });
    out.iter().filter(give_up).count()
}

/// Returns a move from `v1` to `v2` with the given share in basis points.
pub fn share(share: u16) -> ActiveMove {
    ActiveMove {
        from: "v1".into(),
        to: "v2".into(),
        move_id: "p".into(),
        share,
    }
}
