//! Changes of configuration and membership.

use std::sync::Arc;

use model::Time;

use super::Dispatcher;
use crate::{
    ServiceView, TargetView, class_state::ClassState, ownership::Ownership, target::Target,
};

/// Multiple of the smallest latency target up to which a class is tight.
const MAX_TIGHT_FACTOR: u64 = 4;

impl Dispatcher {
    pub(super) fn set_view(&mut self, now: Time, view: Arc<ServiceView>) {
        if view.list_version < self.view.list_version {
            // Overtaken by a newer one; owners must not go back.
            return;
        }
        self.view = view;
        self.load_classes();
        self.split.set(self.view.active_move.as_ref());
        let mut claims = Vec::new();
        for target in self.view.targets.clone() {
            let before = self.load_target(&target);
            let mine = target.owner == self.view.me;
            let foreign = self
                .targets
                .get(&target.id)
                .is_none_or(|t| t.ownership == Ownership::Foreign);
            match (mine, foreign) {
                (true, true) => claims.push((target.id.clone(), before)),
                (false, false) => self.hand_over(&target.id),
                _ => {}
            }
            if target.state != crate::TargetState::Usable {
                self.recall_target(&target.id);
            }
        }
        self.remove_unlisted();
        self.claim(now, claims);
        self.close_stale_loans();
        self.update_ignore_ejections();
    }

    /// Takes a target's view. Returns the owner before, if the target was known.
    fn load_target(&mut self, view: &Arc<TargetView>) -> Option<model::InstanceId> {
        let Some(target) = self.targets.get_mut(&view.id) else {
            self.targets
                .insert(view.id.clone(), Target::new(Arc::clone(view)));
            return None;
        };
        let before = target.view.owner.clone();
        target.set_view(view);
        Some(before)
    }

    /// Removes targets that are no longer listed, once their calls have ended.
    fn remove_unlisted(&mut self) {
        let listed = &self.view.targets;
        let is_listed = |id| listed.binary_search_by(|t| t.id.cmp(id)).is_ok();
        let gone = self.targets.iter().filter(|(id, _)| !is_listed(id));
        let gone: Vec<_> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.recall_target(&id);
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.delist();
            if target.used_slots() == 0 {
                self.targets.remove(&id);
            }
        }
    }

    /// Classes keep their place, so that calls in progress keep theirs.
    fn load_classes(&mut self) {
        self.class_indices.clear();
        for class in &self.view.classes {
            let known = self.classes.iter().position(|c| c.class.name == class.name);
            let index = known.unwrap_or(self.classes.len());
            match known {
                Some(index) => self.classes[index].class = class.clone(),
                None => self.classes.push(ClassState::new(class.clone())),
            }
            self.class_indices.push(index);
        }
        let targets = self.view.classes.iter().map(|c| c.target_ms);
        let tightest = targets.min().unwrap_or(0);
        let idempotent = self.view.classes.iter().filter(|c| c.idempotent);
        let hedged = idempotent.map(|c| c.target_ms).min().unwrap_or(0);
        for state in &mut self.classes {
            let target = state.class.target_ms;
            state.loose = target > tightest.saturating_mul(MAX_TIGHT_FACTOR);
            state.hedged = state.class.idempotent && target == hedged && !state.loose;
        }
    }
}
