//! Baselines for measurements: each call starts at once on a target chosen from this instance's own
//! counts.

use model::{Code, TargetId};
use rand::Rng;

use super::Dispatcher;
use crate::{Action, Event, TargetSelection, target::Target};

impl Dispatcher {
    pub(super) fn handle_baseline(&mut self, event: Event, out: &mut Vec<Action>) {
        if self.targets.is_empty() {
            self.load_targets();
        }
        match event {
            Event::Arrive(call) => self.start_baseline(call.id, out),
            Event::Finish { call, target, .. } => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.own_attempts = target.own_attempts.saturating_sub(1);
                }
                out.push(Action::GiveUp { call });
            }
            Event::View(view) => {
                self.view = view;
                self.load_targets();
            }
            Event::Cancel { .. } | Event::Peer { .. } | Event::PeerDown { .. } | Event::Tick => {}
        }
    }

    fn load_targets(&mut self) {
        for target in &self.view.targets {
            let entry = self.targets.entry(target.id.clone());
            entry
                .and_modify(|t| t.view = target.clone())
                .or_insert_with(|| Target::new(target.clone()));
        }
    }

    fn start_baseline(&mut self, call: crate::CallId, out: &mut Vec<Action>) {
        self.stats.arrived += 1;
        let Some(target) = self.choose_baseline() else {
            out.push(Action::Refuse {
                call,
                code: Code::NoTarget,
                retry_ms: 0,
            });
            return;
        };
        if let Some(state) = self.targets.get_mut(&target) {
            state.own_attempts += 1;
        }
        self.stats.starts += 1;
        out.push(Action::Start { call, target });
    }

    fn choose_baseline(&mut self) -> Option<TargetId> {
        let open: Vec<&Target> = self
            .targets
            .values()
            .filter(|t| t.accepts_calls())
            .collect();
        if open.is_empty() {
            return None;
        }
        let rng = &mut self.rng;
        let best = match self.pick {
            TargetSelection::LeastInFlight => {
                // A random place to begin, so that ties do not favour the first target.
                let first = rng.random_range(0..open.len());
                let turned = (0..open.len()).map(|i| open[(first + i) % open.len()]);
                turned.min_by_key(|t| t.own_attempts)?
            }
            TargetSelection::TwoChoices => {
                let a = open[rng.random_range(0..open.len())];
                let b = open[rng.random_range(0..open.len())];
                if a.own_attempts <= b.own_attempts {
                    a
                } else {
                    b
                }
            }
            TargetSelection::Random | TargetSelection::Owned => {
                open[rng.random_range(0..open.len())]
            }
        };
        Some(best.view.id.clone())
    }
}
