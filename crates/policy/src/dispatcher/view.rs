//! Applies changes of configuration and membership.

use std::sync::Arc;

use model::Time;

use super::Dispatcher;
use crate::{
    ServiceView, TargetView, class_state::ClassState, ownership::Ownership, target::Target,
};

/// A class is tight if its latency target is at most this multiple of the service's smallest one,
/// and loose otherwise.
const MAX_TIGHT_FACTOR: u64 = 4;

impl Dispatcher {
    /// Applies a new view: claims targets that this instance now owns, hands over those that it no
    /// longer owns, and recalls the lent slots of targets that are not usable.
    pub(super) fn set_view(&mut self, now: Time, view: Arc<ServiceView>) {
        if view.list_version < self.view.list_version {
            // A newer view was applied before. Owners must not change back.
            return;
        }
        self.view = view;
        self.load_classes();
        self.split.set(self.view.active_move.as_ref());
        let mut claims = Vec::new();
        for target in self.view.targets.clone() {
            let previous = self.load_target(&target);
            let owned = target.owner == self.view.me;
            let foreign = self
                .targets
                .get(&target.id)
                .is_none_or(|t| t.ownership == Ownership::Foreign);
            match (owned, foreign) {
                (true, true) => claims.push((target.id.clone(), previous)),
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

    /// Applies the view of one target. Returns its previous owner, if the target was known.
    fn load_target(&mut self, view: &Arc<TargetView>) -> Option<model::InstanceId> {
        let Some(target) = self.targets.get_mut(&view.id) else {
            self.targets
                .insert(view.id.clone(), Target::new(Arc::clone(view)));
            return None;
        };
        let previous = target.view.owner.clone();
        target.set_view(view);
        Some(previous)
    }

    /// Removes targets that are no longer listed, as soon as none of their slots is in use.
    fn remove_unlisted(&mut self) {
        let listed = &self.view.targets;
        let is_listed = |id| listed.binary_search_by(|t| t.id.cmp(id)).is_ok();
        let unlisted = self.targets.iter().filter(|(id, _)| !is_listed(id));
        let unlisted: Vec<_> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in unlisted {
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

    /// Applies the classes of the view. Known classes keep their index, because calls in progress
    /// refer to it.
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
