//! Baselines for measurements: each call starts immediately, on a target that is selected only by
//! the number of this instance's own calls on it.

use model::{Code, TargetId};
use rand::Rng;

use super::Dispatcher;
use crate::{Action, Event, TargetSelection, target::Target};

impl Dispatcher {
    /// Handles an event for all target selections but [`TargetSelection::Owned`].
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

    /// Applies the targets of the view. Targets that are no longer listed stay.
    fn load_targets(&mut self) {
        for target in &self.view.targets {
            let entry = self.targets.entry(target.id.clone());
            entry
                .and_modify(|t| t.view = target.clone())
                .or_insert_with(|| Target::new(target.clone()));
        }
    }

    /// Starts a call immediately, or refuses it if no target accepts calls.
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

    /// Selects a target for a call.
    fn choose_baseline(&mut self) -> Option<TargetId> {
        let accepting: Vec<&Target> = self
            .targets
            .values()
            .filter(|t| t.accepts_calls())
            .collect();
        if accepting.is_empty() {
            return None;
        }
        let rng = &mut self.rng;
        let best = match self.selection {
            TargetSelection::LeastInFlight => {
                // Starts at a random index, so that ties do not favour the first target.
                let first = rng.random_range(0..accepting.len());
                let rotated =
                    (0..accepting.len()).map(|i| accepting[(first + i) % accepting.len()]);
                rotated.min_by_key(|t| t.own_attempts)?
            }
            TargetSelection::TwoChoices => {
                let a = accepting[rng.random_range(0..accepting.len())];
                let b = accepting[rng.random_range(0..accepting.len())];
                if a.own_attempts <= b.own_attempts {
                    a
                } else {
                    b
                }
            }
            TargetSelection::Random | TargetSelection::Owned => {
                accepting[rng.random_range(0..accepting.len())]
            }
        };
        Some(best.view.id.clone())
    }
}
