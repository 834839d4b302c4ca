//! Handover of targets between owners.

use std::collections::BTreeMap;

use model::{InstanceId, TargetId, Time, rendezvous};
use rand::Rng;
use wire::LoanMsg;

use super::{Dispatcher, lend::MESSAGE_SLACK_MS};
use crate::{inherited_calls::InheritedCalls, ownership::Ownership};

/// Time after which a claim counts as unanswered.
const CLAIM_TIMEOUT_MS: u64 = 500;
/// Claims sent to a peer that does not answer.
const MAX_CLAIMS: u32 = 10;
/// Mean time before an instance that yielded claims again.
const RECLAIM_DELAY_MS: u64 = 1_000;

impl Dispatcher {
    /// Claims targets that this instance owns by its view. `previous` is the owner before, if known.
    pub(super) fn claim(&mut self, now: Time, ids: Vec<(TargetId, Option<InstanceId>)>) {
        let mut asked = Vec::new();
        for (id, previous) in ids {
            let peers = self.peers_to_ask(previous.as_ref());
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            if target.ownership == Ownership::Foreign {
                // The own limit of an earlier time says nothing. Without a limit from the last owner,
                // for example because lists disagree on it, the target counts as cold.
                target.limit.reset_to_cold();
            }
            target.reported_busy = None;
            target.claims_sent = 0;
            target.pending_peers.clone_from(&peers);
            target.reported_limit = None;
            target.ownership = Ownership::Claiming {
                until: now.plus_ms(CLAIM_TIMEOUT_MS),
            };
            if peers.is_empty() {
                target.take_over();
            }
            asked.push(id);
        }
        self.send_claims(now, &asked);
    }

    fn peers_to_ask(&self, previous: Option<&InstanceId>) -> Vec<InstanceId> {
        let others = self.view.owners.iter().chain(previous);
        let mut peers: Vec<_> = others.filter(|p| **p != self.view.me).cloned().collect();
        peers.sort();
        peers.dedup();
        peers
    }

    fn send_claims(&mut self, now: Time, ids: &[TargetId]) {
        let mut by_peer: BTreeMap<InstanceId, Vec<TargetId>> = BTreeMap::new();
        for id in ids {
            let Some(target) = self.targets.get_mut(id) else {
                continue;
            };
            target.claims_sent += 1;
            target.next_claim = now.plus_ms(CLAIM_TIMEOUT_MS);
            for peer in &target.pending_peers {
                by_peer.entry(peer.clone()).or_default().push(id.clone());
            }
        }
        let view = self.view.list_version;
        for (peer, targets) in by_peer {
            self.send(&peer, LoanMsg::Claim { view, targets });
        }
    }

    /// Hands a target over that this instance owned until now.
    pub(super) fn hand_over(&mut self, id: &TargetId) {
        self.recall_target(id);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.ownership = Ownership::Foreign;
        target.pending_peers.clear();
        self.report_busy(id);
    }

    /// Tells the owner of a target how many calls of this instance are still in progress on it.
    fn report_busy(&mut self, id: &TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let owner = target.view.owner.clone();
        let busy = target.used_excluding(&owner);
        target.reported_busy = (busy > 0).then_some(busy);
        let limit = target.limit_for_successor(&owner);
        let msg = LoanMsg::Release {
            view: self.view.list_version,
            targets: vec![(id.clone(), busy, limit)],
            kept: Vec::new(),
        };
        self.send(&owner, msg);
    }

    /// Tells new owners about calls that ended since the last time.
    pub(super) fn report_to_new_owners(&mut self) {
        let changed = self.targets.iter().filter(|(_, t)| {
            let now = t.used_excluding(&t.view.owner);
            t.ownership == Ownership::Foreign && t.reported_busy.is_some_and(|told| told != now)
        });
        let changed: Vec<_> = changed.map(|(id, _)| id.clone()).collect();
        for id in &changed {
            self.report_busy(id);
        }
    }

    pub(super) fn on_claim(
        &mut self,
        now: Time,
        from: &InstanceId,
        view: u64,
        targets: Vec<TargetId>,
    ) {
        let mut given = Vec::new();
        let mut kept = Vec::new();
        for id in targets {
            if self.has_precedence(&id, from, view) {
                kept.push(id);
                continue;
            }
            self.yield_target(now, &id, from);
            let Some(target) = self.targets.get_mut(&id) else {
                given.push((id, 0, 0));
                continue;
            };
            let busy = target.used_excluding(from);
            target.reported_busy = (busy > 0).then_some(busy);
            given.push((id, busy, target.limit_for_successor(from)));
        }
        let msg = LoanMsg::Release {
            view: self.view.list_version,
            targets: given,
            kept,
        };
        self.send(from, msg);
    }

    /// Whether this instance goes before a claimant that also owns the target by its view: the one
    /// with the newer view does, with equal views the one with the larger rendezvous weight.
    fn has_precedence(&self, id: &TargetId, from: &InstanceId, view: u64) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        if target.view.owner != self.view.me
            || matches!(target.ownership, Ownership::Yielded { .. })
        {
            return false;
        }
        let weight = |who: &InstanceId| (rendezvous(id.as_str(), who.as_str()), who.clone());
        (self.view.list_version, weight(&self.view.me)) > (view, weight(from))
    }

    /// Stops handing out the slots of a target that this instance owns by its view.
    fn yield_target(&mut self, now: Time, id: &TargetId, to: &InstanceId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.view.owner != self.view.me {
            return;
        }
        let wait = RECLAIM_DELAY_MS / 2 + self.rng.random_range(0..RECLAIM_DELAY_MS);
        target.ownership = Ownership::Yielded {
            until: now.plus_ms(wait),
            to: to.clone(),
        };
        target.pending_peers.clear();
        self.recall_target(id);
    }

    pub(super) fn on_release(
        &mut self,
        now: Time,
        from: &InstanceId,
        view: u64,
        targets: Vec<(TargetId, u32, u32)>,
        kept: Vec<TargetId>,
    ) {
        let until = now.plus_ms(self.hold_ms(false) + MESSAGE_SLACK_MS);
        for (id, busy, limit) in targets {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            if target.view.owner != self.view.me {
                continue;
            }
            target.record_inherited(
                from,
                InheritedCalls {
                    busy,
                    until,
                    list_version: view,
                },
            );
            target.record_release(now, from, limit);
        }
        for id in kept {
            let mine = |t: &crate::target::Target| t.view.owner == self.view.me;
            if self.targets.get(&id).is_some_and(mine) {
                self.yield_target(now, &id, from);
            }
        }
    }

    /// Ends claims that were not answered, repeats them, and claims again after yielding.
    pub(super) fn update_claims(&mut self, now: Time) {
        let mut repeat = Vec::new();
        let mut again = Vec::new();
        for (id, target) in &mut self.targets {
            match target.ownership {
                Ownership::Claiming { until } if until <= now => {
                    target.limit.reset_to_cold();
                    target.take_over();
                }
                Ownership::Yielded { until, ref to } if until <= now => {
                    again.push((id.clone(), Some(to.clone())));
                }
                _ => {}
            }
            let open = !target.pending_peers.is_empty() && target.claims_sent < MAX_CLAIMS;
            if open && target.next_claim <= now {
                repeat.push(id.clone());
            }
        }
        self.send_claims(now, &repeat);
        self.claim(now, again);
    }

    /// The process was paused: others may have taken over. Slots are claimed again before use.
    pub(super) fn resume_after_pause(&mut self, now: Time) {
        self.stats.pauses += 1;
        self.grant_cutoff = now.plus_ms(MESSAGE_SLACK_MS);
        self.borrowed.values_mut().for_each(|b| b.closed = true);
        self.demands.clear();
        let mine = self
            .targets
            .iter()
            .filter(|(_, t)| t.view.owner == self.view.me);
        let mine = mine.map(|(id, _)| (id.clone(), None)).collect();
        self.claim(now, mine);
    }
}
