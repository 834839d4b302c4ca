//! Views for dispatchers and address answers: one for each service, built from the fold, the
//! membership and the facts that peers sent ahead of the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use model::{InstanceId, Region, ServiceName, Wall, Zone};
use policy::{ActiveMove, ServiceView, TargetState, TargetView, owner_instances, owner_of};
use wire::Fact;

use crate::{Fold, InstanceView, MembersView, MoveState, Presence, ServiceState, TargetEntry};

/// Largest assumed difference between the clocks of two instances.
pub(crate) const CLOCK_BOUND_MS: u64 = 500;

/// Input of [`views()`].
#[derive(Clone, Copy, Debug)]
pub struct ViewInput<'a> {
    /// Shared state from the log.
    pub fold: &'a Fold,
    /// Instances and targets that this instance knows.
    pub members: &'a MembersView,
    /// Id of this instance.
    pub me: &'a InstanceId,
    /// Availability zone of this instance.
    pub zone: &'a Zone,
    /// Region of this instance.
    pub region: &'a Region,
    /// Facts that peers sent, and those of this instance.
    pub facts: &'a BTreeSet<Fact>,
    /// Wall-clock time, for deadlines of moves only.
    pub wall: Wall,
}

/// An instance with the address that callers are given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAddr {
    /// Id of the instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address for callers of the instance.
    pub addr: SocketAddr,
}

/// Result of [`views()`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// Views for the dispatchers, by service.
    pub services: BTreeMap<ServiceName, Arc<ServiceView>>,
    /// Owner instances of each service in this region, in rank order.
    pub owners: BTreeMap<ServiceName, Vec<InstanceAddr>>,
    /// Instances of this region that may be owner instances, in id order. Address answers list them
    /// after the owner instances of a service.
    pub local_instances: Vec<InstanceAddr>,
}

type Candidates = Vec<(InstanceId, Zone, Region)>;

/// Builds the views of all services that the current documents name.
#[must_use]
pub fn views(input: ViewInput<'_>) -> Views {
    let candidates = owner_candidates(input);
    let local_instances: Vec<InstanceAddr> = candidates
        .iter()
        .filter(|(_, _, region)| region == input.region)
        .filter_map(|(id, _, _)| instance_addr(input, id))
        .collect();
    let mut views = Views {
        local_instances,
        ..Views::default()
    };
    for (name, state) in input.fold.services.iter().filter(|(_, s)| s.configured) {
        let local = owner_instances(name, input.region, &candidates);
        let owners = local
            .iter()
            .filter_map(|id| instance_addr(input, id))
            .collect();
        let view = service_view(input, name, state, &candidates);
        views.owners.insert(name.clone(), owners);
        views.services.insert(name.clone(), Arc::new(view));
    }
    views
}

/// Returns whether the availability zone is out. A fact applies until the log holds a later change
/// of the zone.
fn is_out(input: ViewInput<'_>, zone: &Zone) -> bool {
    let state = input.fold.zones.get(zone);
    let changed = state.map_or(0, |z| z.changed);
    let matches = |fact: &Fact| matches!(fact, Fact::ZoneOut { zone: z, base } if z == zone && *base >= changed);
    state.is_some_and(|z| z.out) || input.facts.iter().any(matches)
}

/// Returns the instances that may be owner instances: the live ones in zones that are not out. If
/// this region has none of these, zones that are out are included. If it has no live instance at
/// all, leaving instances are included too: they still serve calls, and a target without an owner
/// could not be used.
fn owner_candidates(input: ViewInput<'_>) -> Candidates {
    let row = |i: &InstanceView| (i.id.clone(), i.zone.clone(), i.region.clone());
    let local = |candidates: &Candidates| candidates.iter().any(|(_, _, r)| r == input.region);
    let all: Candidates = input.members.live().map(row).collect();
    let in_service: Candidates = all
        .iter()
        .filter(|(_, zone, _)| !is_out(input, zone))
        .cloned()
        .collect();
    if local(&in_service) {
        return in_service;
    }
    if local(&all) {
        return all;
    }
    let responding = |i: &&InstanceView| i.presence != Presence::Silent;
    let rest = input.members.instances.iter().filter(responding);
    rest.map(row).collect()
}

/// Returns the address entry of an instance, or `None` if the membership does not contain it.
fn instance_addr(input: ViewInput<'_>, id: &InstanceId) -> Option<InstanceAddr> {
    let instance = input.members.instances.iter().find(|i| i.id == *id)?;
    Some(InstanceAddr {
        id: id.clone(),
        zone: instance.zone.clone(),
        addr: instance.addr,
    })
}

fn service_view(
    input: ViewInput<'_>,
    name: &ServiceName,
    state: &ServiceState,
    candidates: &Candidates,
) -> ServiceView {
    let active_move = state.open_move().map(|s| active_move(input, s));
    let mut region_owners: BTreeMap<&Region, Vec<InstanceId>> = BTreeMap::new();
    let mut targets = Vec::new();
    for target in input.members.targets.iter().filter(|t| t.service == *name) {
        let owners = region_owners
            .entry(&target.region)
            .or_insert_with(|| owner_instances(name, &target.region, candidates));
        let zone_of = |id: &InstanceId| {
            let row = candidates.iter().find(|(i, _, _)| i == id);
            row.map(|(_, zone, _)| zone.clone())
        };
        let Some(owner) = owner_of(&target.id, &target.zone, owners, zone_of) else {
            continue;
        };
        let state = target_state(input, state, target);
        targets.push(Arc::new(target_view(target, state, owner)));
    }
    let is_owner = |id: &InstanceId| targets.iter().any(|t| t.owner == *id);
    let local = candidates
        .iter()
        .filter(|(_, _, region)| region == input.region);
    let mut owners: Vec<InstanceId> = local.map(|(id, _, _)| id.clone()).collect();
    owners.retain(is_owner);
    owners.sort();
    ServiceView {
        list_version: input.members.list_version,
        name: name.clone(),
        me: input.me.clone(),
        zone: input.zone.clone(),
        classes: state.config.classes.clone(),
        targets,
        owners,
        version: state.version.clone(),
        active_move,
    }
}

/// Returns the split of calls for an open move. A stopped version, or one past the deadline, gets no
/// calls even while the log does not hold the verdict.
fn active_move(input: ViewInput<'_>, move_state: &MoveState) -> ActiveMove {
    let share = if is_past_deadline(move_state, input.wall) || is_stopped(input.facts, move_state) {
        0
    } else {
        move_state.share
    };
    ActiveMove {
        from: move_state.from.clone(),
        to: move_state.to.clone(),
        move_id: move_state.id.clone(),
        share,
    }
}

/// Returns whether the deadline of an open move has passed on the clocks of all instances.
#[must_use]
pub fn is_past_deadline(move_state: &MoveState, wall: Wall) -> bool {
    wall > move_state.deadline.plus_ms(CLOCK_BOUND_MS)
}

/// Returns whether the log or a fact says that the new version must receive no calls.
pub(crate) fn is_stopped(facts: &BTreeSet<Fact>, move_state: &MoveState) -> bool {
    move_state.stop.is_some() || stop_reason(facts, &move_state.id).is_some()
}

/// Returns the reason of the fact that stops the version of this move, if there is one.
pub(crate) fn stop_reason<'a>(facts: &'a BTreeSet<Fact>, id: &str) -> Option<&'a str> {
    facts.iter().find_map(|fact| match fact {
        Fact::Stop { plan, reason, .. } if plan == id => Some(reason.as_str()),
        _ => None,
    })
}

/// Returns whether a target may receive calls, and otherwise the first reason against it.
fn target_state(input: ViewInput<'_>, state: &ServiceState, target: &TargetEntry) -> TargetState {
    if target.presence == Presence::Leaving {
        return TargetState::Leaving;
    }
    if is_out(input, &target.zone) {
        return TargetState::ZoneOut;
    }
    let moved_to = |s: &MoveState| s.to == target.version && !is_stopped(input.facts, s);
    if target.version != state.version && !state.open_move().is_some_and(moved_to) {
        return TargetState::Barred;
    }
    if target.presence == Presence::Silent {
        return TargetState::Silent;
    }
    TargetState::Usable
}

fn target_view(target: &TargetEntry, state: TargetState, owner: InstanceId) -> TargetView {
    TargetView {
        id: target.id.clone(),
        incarnation: target.incarnation,
        addr: target.addr,
        zone: target.zone.clone(),
        region: target.region.clone(),
        version: target.version.clone(),
        slots: target.slots,
        state,
        owner,
    }
}

#[cfg(test)]
mod tests;
