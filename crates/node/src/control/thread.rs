//! The loop of the control thread.

use std::{collections::BTreeMap, io, sync::Arc, thread};

use async_std::{channel::Receiver, task};
use model::{Config, InstanceId, TargetId, Tenant};
use policy::{Event, ServiceView, TargetState, TargetView};
use tracing::{debug, info};
use wire::{Body, EntryKind, EntryState, ListAnswer, ListEntry, LogEntry, Record};

use crate::{
    Token,
    context::Context,
    control::ControlEvent,
    dispatch::{DispatchMsg, spawn_dispatcher},
    snapshot::{EntryAddr, ServiceSnapshot, Snapshot},
};

struct Control {
    ctx: Arc<Context>,
    cancel: Token,
    offset: u64,
    configs: BTreeMap<Tenant, Config>,
    list: ListAnswer,
}

/// Starts the control thread. It ends when `cancel` is cancelled.
pub fn spawn_control(
    ctx: Arc<Context>,
    cancel: Token,
    events: Receiver<ControlEvent>,
) -> io::Result<thread::JoinHandle<()>> {
    let control = Control {
        ctx,
        cancel,
        offset: 0,
        configs: BTreeMap::new(),
        list: ListAnswer::default(),
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(control, &events))
}

fn run(mut control: Control, events: &Receiver<ControlEvent>) {
    let cancel = control.cancel.clone();
    while let Some(Ok(event)) = task::block_on(cancel.run(events.recv())) {
        match event {
            ControlEvent::Records(records) => apply(&mut control, &records),
            ControlEvent::List(list) if list != control.list => control.list = list,
            ControlEvent::List(_) => continue,
            ControlEvent::SendLoan { to, service, msg } => {
                debug!(%to, %service, ?msg, "event=loan_unsent");
                continue;
            }
            ControlEvent::Fact(fact) => {
                debug!(?fact, "event=fact_unsent");
                continue;
            }
            // Dropping the reply channel makes the administration API answer "busy".
            ControlEvent::Admin(request) => {
                drop(request);
                continue;
            }
        }
        publish(&control);
    }
}

fn apply(control: &mut Control, records: &[LogEntry]) {
    for entry in records {
        if entry.offset <= control.offset {
            continue;
        }
        control.offset = entry.offset;
        let Ok(record) = Record::decode(&entry.data) else {
            continue;
        };
        if let Body::Config { tenant, text, .. } = record.body
            && let Ok(config) = Config::parse(tenant.as_str(), &text)
        {
            let instance = &control.ctx.settings.instance;
            info!(%instance, %tenant, offset = entry.offset, "event=config_in_force");
            control.configs.insert(tenant, config);
        }
    }
}

fn publish(control: &Control) {
    let ctx = &control.ctx;
    let snapshot = build(control);
    let mut dispatchers = (**ctx.dispatchers.load()).clone();
    for (name, service) in &snapshot.services {
        let view = Arc::clone(&service.view);
        if let Some(dispatcher) = dispatchers.get(name) {
            let _ = dispatcher.try_send(DispatchMsg::Event(Event::View(view)));
        } else {
            dispatchers.insert(name.clone(), spawn_dispatcher(ctx, &control.cancel, view));
        }
    }
    ctx.dispatchers.store(Arc::new(dispatchers));
    ctx.snapshot.store(Arc::new(snapshot));
}

fn build(control: &Control) -> Snapshot {
    let entries: Vec<EntryAddr> = control
        .list
        .entries
        .iter()
        .filter(|e| e.kind == EntryKind::Entry && e.state == EntryState::Live)
        .map(|e| EntryAddr {
            addr: e.addr,
            zone: e.zone.clone(),
        })
        .collect();
    let mut services = BTreeMap::new();
    for service in control.configs.values().flat_map(|c| &c.services) {
        let me = control.ctx.settings.instance.clone();
        let targets = control
            .list
            .entries
            .iter()
            .filter_map(|e| target(&me, service, e))
            .collect();
        let view = ServiceView {
            view: control.list.version,
            name: service.name.clone(),
            zone: control.ctx.settings.zone.clone(),
            classes: service.classes.clone(),
            targets,
            owners: vec![me.clone()],
            me,
            version: service.version.clone(),
            shift: None,
        };
        let snapshot = ServiceSnapshot {
            view: Arc::new(view),
            entries: entries.clone(),
        };
        services.insert(service.name.clone(), snapshot);
    }
    Snapshot {
        offset: control.offset,
        ready: !control.configs.is_empty(),
        services,
    }
}

fn target(me: &InstanceId, service: &model::Service, entry: &ListEntry) -> Option<Arc<TargetView>> {
    if entry.service.as_ref() != Some(&service.name) {
        return None;
    }
    let state = match entry.state {
        EntryState::Live if entry.version.as_ref() == Some(&service.version) => TargetState::Usable,
        EntryState::Live => TargetState::Barred,
        EntryState::Leaving => TargetState::Leaving,
    };
    Some(Arc::new(TargetView {
        id: TargetId::new(&entry.id),
        incarnation: entry.incarnation,
        addr: entry.addr,
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        version: entry.version.clone()?,
        slots: entry.slots?,
        state,
        owner: me.clone(),
    }))
}
