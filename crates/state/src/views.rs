//! What dispatchers and address answers work from: one view for each service, made from the fold,
//! the membership and the facts that peers sent ahead of the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use model::{InstanceId, Region, ServiceName, Wall, Zone};
use policy::{ActiveMove, ServiceView, TargetState, TargetView, owner_instances, owner_of};
use wire::Fact;

use crate::{Fold, InstanceView, MembersView, MoveState, Presence, ServiceState, TargetEntry};

/// Largest difference between the clocks of two instances.
pub(crate) const CLOCK_BOUND_MS: u64 = 500;

/// What [`views`] depends on.
#[derive(Clone, Copy, Debug)]
pub struct ViewInput<'a> {
    /// Shared state.
    pub fold: &'a Fold,
    /// Membership.
    pub members: &'a MembersView,
    /// This instance.
    pub me: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a Zone,
    /// Its region.
    pub region: &'a Region,
    /// Facts that were heard.
    pub facts: &'a BTreeSet<Fact>,
    /// Wall-clock time, for deadlines of moves only.
    pub wall: Wall,
}

/// A home instance for address answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub addr: SocketAddr,
}

/// Result of [`views`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceView>>,
    /// Home instances of each service in this region, in rank order.
    pub homes: BTreeMap<ServiceName, Vec<Home>>,
    /// Live instances of this region that are in no zone that is out, in id order; for spares.
    pub spares: Vec<Home>,
}

type Live = Vec<(InstanceId, Zone, Region)>;

/// The views of all services that documents name.
#[must_use]
pub fn views(input: ViewInput<'_>) -> Views {
    let live = live(input);
    let entries: Vec<Home> = live
        .iter()
        .filter(|(_, _, region)| region == input.region)
        .filter_map(|(id, _, _)| home(input, id))
        .collect();
    let mut views = Views {
        spares: entries,
        ..Views::default()
    };
    for (name, state) in input.fold.services.iter().filter(|(_, s)| s.listed) {
        let local = owner_instances(name, input.region, &live);
        let homes = local.iter().filter_map(|id| home(input, id)).collect();
        let view = service_view(input, name, state, &live);
        views.homes.insert(name.clone(), homes);
        views.services.insert(name.clone(), Arc::new(view));
    }
    views
}

/// Whether the zone is to receive no new work. A fact counts until the log holds a later change.
fn is_out(input: ViewInput<'_>, zone: &Zone) -> bool {
    let state = input.fold.zones.get(zone);
    let changed = state.map_or(0, |z| z.changed);
    let told = |fact: &Fact| matches!(fact, Fact::ZoneOut { zone: z, base } if z == zone && *base >= changed);
    state.is_some_and(|z| z.out) || input.facts.iter().any(told)
}

/// Instances that may be homes: live and in no zone that is out, or all live ones if none remains.
/// Leaving instances count when the region has no other, since they still serve calls and a target
/// without an owner could not be used at all.
fn live(input: ViewInput<'_>) -> Live {
    let row = |i: &InstanceView| (i.id.clone(), i.zone.clone(), i.region.clone());
    let local = |live: &Live| live.iter().any(|(_, _, r)| r == input.region);
    let all: Live = input.members.live().map(row).collect();
    let kept: Live = all
        .iter()
        .filter(|(_, zone, _)| !is_out(input, zone))
        .cloned()
        .collect();
    if local(&kept) {
        return kept;
    }
    if local(&all) {
        return all;
    }
    let leaving = |i: &&InstanceView| i.presence != Presence::Silent;
    let rest = input.members.instances.iter().filter(leaving);
    rest.map(row).collect()
}

fn home(input: ViewInput<'_>, id: &InstanceId) -> Option<Home> {
    let instance = input.members.instances.iter().find(|i| i.id == *id)?;
    Some(Home {
        id: id.clone(),
        zone: instance.zone.clone(),
        addr: instance.addr,
    })
}

fn service_view(
    input: ViewInput<'_>,
    name: &ServiceName,
    state: &ServiceState,
    live: &Live,
) -> ServiceView {
    let active_move = state.open_move().map(|s| active_move(input, s));
    let mut homes: BTreeMap<&Region, Vec<InstanceId>> = BTreeMap::new();
    let mut targets = Vec::new();
    for target in input.members.targets.iter().filter(|t| t.service == *name) {
        let homes = homes
            .entry(&target.region)
            .or_insert_with(|| owner_instances(name, &target.region, live));
        let zone_of = |id: &InstanceId| {
            let row = live.iter().find(|(i, _, _)| i == id);
            row.map(|(_, zone, _)| zone.clone())
        };
        let Some(owner) = owner_of(&target.id, &target.zone, homes, zone_of) else {
            continue;
        };
        let state = target_state(input, state, target);
        targets.push(Arc::new(target_view(target, state, owner)));
    }
    let owns = |id: &InstanceId| targets.iter().any(|t| t.owner == *id);
    let local = live.iter().filter(|(_, _, region)| region == input.region);
    let mut owners: Vec<InstanceId> = local.map(|(id, _, _)| id.clone()).collect();
    owners.retain(owns);
    owners.sort();
    ServiceView {
        list_version: input.members.listed,
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

fn active_move(input: ViewInput<'_>, shift: &MoveState) -> ActiveMove {
    let share = if is_late(shift, input.wall) || is_stopped(input.facts, shift) {
        0
    } else {
        shift.share
    };
    ActiveMove {
        from: shift.from.clone(),
        to: shift.to.clone(),
        move_id: shift.plan.clone(),
        share,
    }
}

/// Whether an open move's deadline has passed by every clock.
#[must_use]
pub fn is_late(shift: &MoveState, wall: Wall) -> bool {
    wall > shift.deadline.plus_ms(CLOCK_BOUND_MS)
}

/// Whether the log or a fact says that the new version must receive no work.
pub(crate) fn is_stopped(facts: &BTreeSet<Fact>, shift: &MoveState) -> bool {
    shift.stop.is_some() || stop_reason(facts, &shift.plan).is_some()
}

/// Why a move's version was stopped, as a fact says.
pub(crate) fn stop_reason<'a>(facts: &'a BTreeSet<Fact>, id: &str) -> Option<&'a str> {
    facts.iter().find_map(|fact| match fact {
        Fact::Stop { plan, reason, .. } if plan == id => Some(reason.as_str()),
        _ => None,
    })
}

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
