//! Dispatcher of one service in one instance: queues calls and starts them on free slots.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use model::{Code, TargetId, Time};

use crate::{Action, Call, CallId, Event, ServiceView, TargetState};

/// Calls that may wait.
const MAX_WAITING: usize = 256;
/// Advice to callers that were refused, in milliseconds.
const RETRY_MS: u32 = 50;

/// Decides where and when the calls of one service start.
#[derive(Debug)]
pub struct Dispatcher {
    view: Arc<ServiceView>,
    waiting: VecDeque<Call>,
    running: BTreeMap<CallId, Call>,
    in_flight: BTreeMap<TargetId, u32>,
}

impl Dispatcher {
    /// A dispatcher with nothing in progress. `seed` feeds its random choices.
    #[must_use]
    pub fn new(view: Arc<ServiceView>, _seed: u64) -> Self {
        Self {
            view,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(call) => self.arrive(call, out),
            Event::Finish { call, target, .. } => self.finish(call, &target, out),
            Event::Cancel { call } => self.waiting.retain(|c| c.id != call),
            Event::View(view) => self.view = view,
            Event::Peer { .. } | Event::PeerDown { .. } | Event::Tick => {}
        }
        self.expire(now, out);
        self.start_waiting(out);
    }

    fn arrive(&mut self, call: Call, out: &mut Vec<Action>) {
        if self.waiting.len() >= MAX_WAITING {
            out.push(Action::Refuse {
                call: call.id,
                code: Code::QueueFull,
                retry_ms: RETRY_MS,
            });
            return;
        }
        self.waiting.push_back(call);
    }

    fn finish(&mut self, call: CallId, target: &TargetId, out: &mut Vec<Action>) {
        if let Some(count) = self.in_flight.get_mut(target) {
            *count -= 1;
        }
        self.running.remove(&call);
        out.push(Action::GiveUp { call });
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let view = &self.view;
        self.waiting.retain(|call| {
            let delay_ms = view.classes.get(call.class).map_or(0, |c| c.delay_ms);
            let late = now > call.arrived.plus_ms(delay_ms) || now >= call.deadline;
            if late {
                let code = Code::CannotMeet;
                out.push(Action::Refuse {
                    call: call.id,
                    code,
                    retry_ms: RETRY_MS,
                });
            }
            !late
        });
    }

    fn start_waiting(&mut self, out: &mut Vec<Action>) {
        while !self.waiting.is_empty() {
            let Some(target) = self.least_loaded() else {
                return;
            };
            let Some(call) = self.waiting.pop_front() else {
                return;
            };
            *self.in_flight.entry(target.clone()).or_default() += 1;
            out.push(Action::Start {
                call: call.id,
                target,
            });
            self.running.insert(call.id, call);
        }
    }

    fn least_loaded(&self) -> Option<TargetId> {
        let load = |id: &TargetId| self.in_flight.get(id).copied().unwrap_or(0);
        self.view
            .targets
            .iter()
            .filter(|t| t.state == TargetState::Usable && load(&t.id) < t.slots)
            .min_by_key(|t| load(&t.id))
            .map(|t| t.id.clone())
    }
}
