//! Handover of targets between owners. A new owner claims a target from all peers that may still
//! use its slots, and each of them releases it with the number of its calls that are still in
//! progress.

use std::collections::BTreeMap;

use model::{InstanceId, TargetId, Time, rendezvous};
use rand::Rng;
use wire::LoanMsg;

use super::{Dispatcher, lend::MESSAGE_SLACK_MS};
use crate::{inherited_calls::InheritedCalls, ownership::Ownership};

/// Time after which a claim is treated as unanswered, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 500;
/// Largest number of times that a claim is sent to peers that do not answer.
const MAX_CLAIMS: u32 = 10;
/// Mean time before an instance that yielded a target claims it again, in milliseconds.
const RECLAIM_DELAY_MS: u64 = 1_000;

impl Dispatcher {
    /// Claims targets that this instance owns according to its view. Each comes with its previous
    /// owner, if that is known.
    pub(super) fn claim(&mut self, now: Time, ids: Vec<(TargetId, Option<InstanceId>)>) {
        let mut claimed = Vec::new();
        for (id, previous) in ids {
            let peers = self.peers_to_ask(previous.as_ref());
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            if target.ownership == Ownership::Foreign {
                // A limit from an earlier ownership is out of date. If the last owner reports none,
                // for example because instance lists disagree about the owner, the target starts
                // cold.
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
            claimed.push(id);
        }
        self.send_claims(now, &claimed);
    }

    /// Returns the peers that must answer a claim: the other owners, and the previous owner.
    fn peers_to_ask(&self, previous: Option<&InstanceId>) -> Vec<InstanceId> {
        let others = self.view.owners.iter().chain(previous);
        let mut peers: Vec<_> = others.filter(|p| **p != self.view.me).cloned().collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// Sends claims of the targets to the peers that have not answered yet, one message for each
    /// peer.
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

    /// Hands over a target that this instance owned until now.
    pub(super) fn hand_over(&mut self, id: &TargetId) {
        self.recall_target(id);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.ownership = Ownership::Foreign;
        target.pending_peers.clear();
        self.report_busy(id);
    }

    /// Reports to the owner of a target how many of its slots this instance still accounts for.
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

    /// Reports to new owners the calls that ended since the last report.
    pub(super) fn report_to_new_owners(&mut self) {
        let changed = self.targets.iter().filter(|(_, t)| {
            let busy = t.used_excluding(&t.view.owner);
            t.ownership == Ownership::Foreign
                && t.reported_busy.is_some_and(|reported| reported != busy)
        });
        let changed: Vec<_> = changed.map(|(id, _)| id.clone()).collect();
        for id in &changed {
            self.report_busy(id);
        }
    }

    /// Handles the claim of targets by a peer whose instance list has version `list_version`.
    /// Releases each target with the number of slots still in use, or keeps it if this instance has
    /// precedence.
    pub(super) fn on_claim(
        &mut self,
        now: Time,
        from: &InstanceId,
        list_version: u64,
        targets: Vec<TargetId>,
    ) {
        let mut released = Vec::new();
        let mut kept = Vec::new();
        for id in targets {
            if self.has_precedence(&id, from, list_version) {
                kept.push(id);
                continue;
            }
            self.yield_target(now, &id, from);
            let Some(target) = self.targets.get_mut(&id) else {
                released.push((id, 0, 0));
                continue;
            };
            let busy = target.used_excluding(from);
            target.reported_busy = (busy > 0).then_some(busy);
            released.push((id, busy, target.limit_for_successor(from)));
        }
        let msg = LoanMsg::Release {
            view: self.view.list_version,
            targets: released,
            kept,
        };
        self.send(from, msg);
    }

    /// Returns whether this instance keeps a target that `from` claims. If both own the target
    /// according to their views, the newer instance list has precedence, and with equal lists the
    /// larger rendezvous weight.
    fn has_precedence(&self, id: &TargetId, from: &InstanceId, list_version: u64) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        if target.view.owner != self.view.me
            || matches!(target.ownership, Ownership::Yielded { .. })
        {
            return false;
        }
        let weight = |who: &InstanceId| (rendezvous(id.as_str(), who.as_str()), who.clone());
        (self.view.list_version, weight(&self.view.me)) > (list_version, weight(from))
    }

    /// Yields a target that this instance owns according to its view to another claimant: stops
    /// using and lending its slots, and schedules the next claim.
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

    /// Handles the answer of a peer to a claim: targets that it released, with the number of slots
    /// in use and its limit, and targets that it keeps.
    pub(super) fn on_release(
        &mut self,
        now: Time,
        from: &InstanceId,
        list_version: u64,
        targets: Vec<(TargetId, u32, u32)>,
        kept: Vec<TargetId>,
    ) {
        let until = now.plus_ms(self.loan_duration_ms(false) + MESSAGE_SLACK_MS);
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
                    list_version,
                },
            );
            target.record_release(now, from, limit);
        }
        for id in kept {
            let owned = |t: &crate::target::Target| t.view.owner == self.view.me;
            if self.targets.get(&id).is_some_and(owned) {
                self.yield_target(now, &id, from);
            }
        }
    }

    /// Takes over targets whose claims timed out, repeats claims that peers have not answered, and
    /// claims yielded targets again.
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
            let unanswered = !target.pending_peers.is_empty() && target.claims_sent < MAX_CLAIMS;
            if unanswered && target.next_claim <= now {
                repeat.push(id.clone());
            }
        }
        self.send_claims(now, &repeat);
        self.claim(now, again);
    }

    /// Handles a pause of the process. Other instances may have taken over the targets meanwhile,
    /// so this instance claims them again before it uses their slots.
    pub(super) fn resume_after_pause(&mut self, now: Time) {
        self.stats.pauses += 1;
        self.grant_cutoff = now.plus_ms(MESSAGE_SLACK_MS);
        self.borrowed.values_mut().for_each(|b| b.closed = true);
        self.demands.clear();
        let owned = self
            .targets
            .iter()
            .filter(|(_, t)| t.view.owner == self.view.me);
        let owned = owned.map(|(id, _)| (id.clone(), None)).collect();
        self.claim(now, owned);
    }
}
