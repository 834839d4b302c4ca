//! Publishes snapshots of the control state to traffic threads, and views to dispatchers.

use std::{collections::BTreeMap, sync::Arc};

use model::{ServiceName, Time, Wall};
use policy::{Event, ServiceView};
use state::{Fold, InstanceAddr, ViewInput, Views, views};
use wire::Fact;

use crate::{
    clock::Clock,
    control::thread::Control,
    dispatch::{DispatchMsg, spawn_dispatcher},
    snapshot::{EntryAddr, ServiceSnapshot, Snapshot},
};

/// Maximum number of instance addresses of a service, owner instances first. Answers to address
/// queries choose among them.
const MAX_ENTRIES: usize = 8;

/// Versions of the inputs of a published snapshot. Equal inputs give an equal snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotInputs {
    offset: u64,
    members_version: u64,
    listed: bool,
    fact_count: usize,
    /// Number of open moves whose deadline has passed.
    overdue_moves: usize,
}

/// Publishes a new snapshot if its inputs changed.
pub fn publish(control: &mut Control, now: Time) {
    let wall = Clock::wall();
    drop_superseded_facts(control);
    let members = control.members.view(now);
    let inputs = SnapshotInputs {
        offset: control.state.offset(),
        members_version: members.version,
        listed: control.members.has_list(),
        fact_count: control.facts.len(),
        overdue_moves: count_overdue_moves(control, wall),
    };
    if control.published == Some(inputs) {
        return;
    }
    control.published = Some(inputs);
    let settings = &control.ctx.settings;
    let views = views(ViewInput {
        fold: control.state.fold(),
        members: &members,
        me: &settings.instance,
        zone: &settings.zone,
        region: &settings.region,
        facts: &control.facts,
        wall,
    });
    update_dispatchers(control, &views);
    let snapshot = build(control, views, members.version);
    control.ctx.snapshot.store(Arc::new(snapshot));
}

fn count_overdue_moves(control: &Control, wall: Wall) -> usize {
    let fold = control.state.fold();
    fold.open_moves()
        .filter(|(_, m)| state::is_past_deadline(m, wall))
        .count()
}

/// Drops facts that the log has superseded: stops of decided moves, and zones with a later change.
fn drop_superseded_facts(control: &mut Control) {
    let fold = control.state.fold();
    control.facts.retain(|fact| !is_superseded(fold, fact));
}

/// Returns whether a record of the log supersedes the fact.
pub fn is_superseded(fold: &Fold, fact: &Fact) -> bool {
    match fact {
        Fact::Stop { plan, .. } => fold.find_move(plan).is_some_and(|(_, m)| !m.is_open()),
        Fact::ZoneOut { zone, base } => fold.zones.get(zone).is_some_and(|z| z.changed > *base),
        Fact::Draining { .. } => false,
    }
}

fn update_dispatchers(control: &Control, views: &Views) {
    let ctx = &control.ctx;
    let old = ctx.snapshot.load();
    let mut dispatchers = (**ctx.dispatchers.load()).clone();
    dispatchers.retain(|name, _| views.services.contains_key(name));
    for (name, view) in &views.services {
        if old.services.get(name).is_some_and(|s| s.view == *view) {
            continue;
        }
        if let Some(dispatcher) = dispatchers.get(name) {
            let event = Event::View(Arc::clone(view));
            let _ = dispatcher.try_send(DispatchMsg::Event(event));
        } else {
            let dispatcher = spawn_dispatcher(ctx, &control.cancel, Arc::clone(view));
            dispatchers.insert(name.clone(), dispatcher);
        }
    }
    ctx.dispatchers.store(Arc::new(dispatchers));
}

fn build(control: &Control, views: Views, view: u64) -> Snapshot {
    let live = views
        .local_instances
        .iter()
        .map(|instance| instance.id.clone())
        .collect();
    let mut services: BTreeMap<ServiceName, ServiceSnapshot> = BTreeMap::new();
    for (name, service) in views.services {
        let owners = views.owners.get(&name).map_or(&[][..], Vec::as_slice);
        let entries = entries(&service, owners, &views.local_instances);
        services.insert(
            name,
            ServiceSnapshot {
                view: service,
                entries,
            },
        );
    }
    let ready = !control.state.fold().tenants.is_empty();
    Snapshot {
        offset: control.state.offset(),
        view,
        live,
        ready,
        listed: control.members.has_list(),
        services,
    }
}

/// Returns the owner instances in rank order, followed by other instances in an order that differs
/// from service to service.
fn entries(
    service: &ServiceView,
    owners: &[InstanceAddr],
    others: &[InstanceAddr],
) -> Vec<EntryAddr> {
    let mut others: Vec<&InstanceAddr> = others.iter().filter(|s| !owners.contains(s)).collect();
    others.sort_by_key(|s| {
        std::cmp::Reverse(model::rendezvous(service.name.as_str(), s.id.as_str()))
    });
    let all = owners.iter().chain(others).take(MAX_ENTRIES);
    all.map(|h| EntryAddr {
        addr: h.addr,
        zone: h.zone.clone(),
    })
    .collect()
}
