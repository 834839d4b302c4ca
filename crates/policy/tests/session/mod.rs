//! Simulation of dispatchers with fixed service times and message delays, which logs all events.

use std::{collections::BTreeMap, fmt::Write, sync::Arc};

use model::{Class, TargetId, Time};
use policy::{
    Action, AttemptEnd, AttemptReport, Call, CallId, Dispatcher, Event, ServiceView, TargetState,
    TargetView,
};
use wire::LoanMsg;

pub const URGENT: usize = 0;
pub const CONFIRM: usize = 1;
pub const BULK: usize = 2;

/// Delay of a message in microseconds.
const MESSAGE_US: u64 = 500;
const TICK_US: u64 = 5_000;

/// The simulated dispatchers and the log of their events.
pub struct Session {
    now: Time,
    seq: u64,
    nodes: BTreeMap<String, Dispatcher>,
    views: BTreeMap<String, ServiceView>,
    events: BTreeMap<(Time, u64), (String, Event)>,
    classes: BTreeMap<CallId, usize>,
    log: String,
    log_paused: bool,
    /// Whether targets report that they are cold.
    pub cold: bool,
    /// Target that takes five times as long as the others.
    pub slow: Option<&'static str>,
    /// Target whose attempts fail at once, and how they end.
    pub failing: Option<(&'static str, AttemptEnd)>,
    /// Kind of message of which the next one is lost.
    pub lose_next: Option<&'static str>,
}

fn classes() -> Vec<Class> {
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

fn describe(msg: &LoanMsg) -> String {
    // Loan numbers begin at a random number. Their last two digits are enough to distinguish loans.
    match msg {
        LoanMsg::Grant {
            target,
            loan,
            hold_ms,
        } => {
            format!("Grant {target} loan {} for {hold_ms} ms", loan % 100)
        }
        LoanMsg::Return {
            loan, good, bad, ..
        } => {
            format!("Return loan {} good {good} bad {bad}", loan % 100)
        }
        LoanMsg::Recall { loan } => format!("Recall loan {}", loan % 100),
        other => format!("{other:?}"),
    }
}

impl Session {
    /// Creates a session of `instances`, which all own targets. `owners` names the owner of each
    /// target; each target has 3 slots.
    pub fn new(instances: &[&str], owners: &[&str]) -> Self {
        let target = |(n, owner): (usize, &&str)| {
            Arc::new(TargetView {
                id: TargetId::new(&format!("t-{n}")),
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                zone: "a".into(),
                region: "r".into(),
                version: "v1".into(),
                slots: 3,
                state: TargetState::Usable,
                owner: (*owner).into(),
            })
        };
        let targets: Vec<_> = owners.iter().enumerate().map(target).collect();
        let view = |me: &str| ServiceView {
            list_version: 1,
            name: "orders".into(),
            me: me.into(),
            zone: "a".into(),
            classes: classes(),
            targets: targets.clone(),
            owners: instances.iter().map(|i| (*i).into()).collect(),
            version: "v1".into(),
            active_move: None,
        };
        let views: BTreeMap<_, _> = instances.iter().map(|i| ((*i).into(), view(i))).collect();
        let start = |(n, (i, v)): (usize, (&String, &ServiceView))| {
            (i.clone(), Dispatcher::new(Arc::new(v.clone()), n as u64))
        };
        let mut session = Self {
            now: Time::default(),
            seq: 0,
            nodes: views.iter().enumerate().map(start).collect(),
            views,
            events: BTreeMap::new(),
            classes: BTreeMap::new(),
            log: String::new(),
            log_paused: false,
            cold: false,
            slow: None,
            failing: None,
            lose_next: None,
        };
        for i in instances {
            session.push(1, i, Event::Tick);
        }
        session
    }

    /// Runs until all claims are settled and all limits are raised, without logging.
    pub fn warm_up(&mut self) {
        self.log_paused = true;
        self.run(50.0);
        let instances: Vec<String> = self.nodes.keys().cloned().collect();
        for _ in 0..120 {
            for i in &instances {
                self.arrive(i, URGENT);
            }
            self.run(4.0);
        }
        self.run(100.0);
        self.log_paused = false;
    }

    /// Returns the log.
    pub fn text(&self) -> &str {
        &self.log
    }

    /// Adds a comment to the log.
    pub fn note(&mut self, text: &str) {
        self.add_line("", &format!("# {text}"));
    }

    fn add_line(&mut self, i: &str, what: &str) {
        if self.log_paused {
            return;
        }
        let ms = self.now.0 / 1_000;
        let rest = self.now.0 % 1_000 / 100;
        writeln!(self.log, "{ms:>5}.{rest} {i:<4} {what}").expect("writing to a string");
    }

    fn push(&mut self, delay_us: u64, i: &str, event: Event) {
        self.seq += 1;
        self.events
            .insert((self.now.plus_us(delay_us), self.seq), (i.into(), event));
    }

    /// Simulates `ms` milliseconds.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn run(&mut self, ms: f64) {
        let end = self.now.plus_us((ms * 1_000.0) as u64);
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            let ((at, _), (i, event)) = self.events.pop_first().expect("not empty");
            self.now = at;
            if matches!(event, Event::Tick) && self.nodes.contains_key(&i) {
                self.push(TICK_US, &i, Event::Tick);
            }
            self.handle(&i, event);
        }
        self.now = end;
    }

    /// Lets a call of the class with index `class` arrive at instance `i`.
    pub fn arrive(&mut self, i: &str, class: usize) {
        self.seq += 1;
        let call = Call {
            id: CallId(self.seq),
            class,
            caller: self.seq,
            bytes: 100,
            arrived: self.now,
            deadline: self.now.plus_ms(1_000),
            replayable: true,
            retries: 1,
        };
        self.classes.insert(call.id, class);
        self.add_line(
            i,
            &format!("arrive {} {}", call.id.0, classes()[class].name),
        );
        self.handle(i, Event::Arrive(call));
    }

    /// Stops an instance. The others first learn that its connection was lost, then that its target
    /// has a new owner.
    pub fn lose_instance(&mut self, lost: &str, target: &str, owner: &str) {
        self.nodes.remove(lost);
        let others: Vec<String> = self.nodes.keys().cloned().collect();
        for i in others {
            self.push(1_000, &i, Event::PeerDown { peer: lost.into() });
            let view = self.views.get_mut(&i).expect("has a view");
            view.list_version += 1;
            view.owners.retain(|o| o.as_str() != lost);
            for t in &mut view.targets {
                if t.id.as_str() == target {
                    Arc::make_mut(t).owner = owner.into();
                }
            }
            let view = Arc::new(view.clone());
            self.push(3_000, &i, Event::View(view));
        }
    }

    fn handle(&mut self, i: &str, event: Event) {
        match &event {
            Event::Finish {
                call,
                target,
                report,
            } => {
                let ms = report.service_us / 1_000;
                let end = report.end;
                self.add_line(
                    i,
                    &format!("finish {} {target} {end:?} after {ms} ms", call.0),
                );
            }
            Event::PeerDown { peer } => self.add_line(i, &format!("lost {peer}")),
            Event::View(view) => self.add_line(i, &format!("view {}", view.list_version)),
            Event::Peer { from, msg } => {
                self.add_line(i, &format!("from {from}: {}", describe(msg)));
            }
            _ => {}
        }
        let Some(dispatcher) = self.nodes.get_mut(i) else {
            return;
        };
        let before = dispatcher.stats().limits;
        let mut out = Vec::new();
        dispatcher.handle(self.now, event, &mut out);
        let after = dispatcher.stats().limits;
        for action in out {
            self.perform(i, action);
        }
        for (target, limit) in after {
            if before.get(&target) != Some(&limit) {
                self.add_line(i, &format!("limit {target} {limit}"));
            }
        }
    }

    fn perform(&mut self, i: &str, action: Action) {
        match action {
            Action::Start { call, target } => {
                self.add_line(i, &format!("start {} {target}", call.0));
                self.schedule_finish(i, call, target);
            }
            Action::Refuse {
                call,
                code,
                retry_ms,
            } => {
                let number = code.number();
                self.add_line(
                    i,
                    &format!("refuse {} {number} retry {retry_ms} ms", call.0),
                );
            }
            Action::Send { to, msg } => {
                let text = describe(&msg);
                if self.lose_next.is_some_and(|kind| text.starts_with(kind)) {
                    self.lose_next = None;
                    self.add_line(i, &format!("message lost to {to}: {text}"));
                    return;
                }
                let event = Event::Peer {
                    from: i.into(),
                    msg,
                };
                self.push(MESSAGE_US, to.as_str(), event);
            }
            Action::GiveUp { .. } => {}
            Action::Draining { target, .. } => self.add_line(i, &format!("draining {target}")),
        }
    }

    fn schedule_finish(&mut self, i: &str, call: CallId, target: TargetId) {
        let base = [10_000, 10_000, 100_000][self.classes[&call]];
        let fails = self.failing.filter(|f| f.0 == target.as_str());
        let slow = self.slow == Some(target.as_str());
        let service_us = match (fails, slow) {
            (Some(_), _) => 200,
            (None, true) => 5 * base,
            (None, false) => base,
        };
        let report = AttemptReport {
            end: fails.map_or(AttemptEnd::Good, |f| f.1),
            service_us,
            retryable: self.classes[&call] != CONFIRM,
            draining: false,
            cold: self.cold,
        };
        self.push(
            service_us,
            i,
            Event::Finish {
                call,
                target,
                report,
            },
        );
    }
}
