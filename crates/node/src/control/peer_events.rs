//! Handles messages of peers (heartbeats, facts, evidence, records) and changes of their links.

use std::sync::Arc;

use model::{InstanceId, OperatorName, Time};
use policy::Event;
use state::Observation;
use tracing::info;
use wire::{Fact, LogEntry, PeerMsg};

use crate::{
    clock::Clock,
    control::{moves::evidence_msg, publish, records, thread::Control},
    dispatch::DispatchMsg,
};

/// Shortest time between two requests for records, in milliseconds.
const MIN_FETCH_INTERVAL_MS: u64 = 500;
/// Maximum number of facts kept. Draining upstreams are the most frequent: 730 targets and their replacements.
const MAX_FACTS: usize = 2_048;

/// Handles a message of a peer.
pub fn handle_message(control: &mut Control, now: Time, from: &InstanceId, msg: PeerMsg) {
    match msg {
        PeerMsg::Hello { incarnation, .. } => {
            control.peers.entry(from.clone()).or_default().incarnation = incarnation;
            observe_frame(control, now, from, false);
        }
        PeerMsg::Heartbeat {
            offset, leaving, ..
        } => {
            control.peers.entry(from.clone()).or_default().offset = offset;
            observe_frame(control, now, from, leaving);
            fetch_if_behind(control, now, from, offset);
        }
        PeerMsg::Evidence {
            instance,
            incarnation,
            plan,
            routes,
        } => {
            if let Some(watch) = control.watches.get_mut(&plan) {
                watch.evidence.merge(&instance, incarnation, &routes);
            }
        }
        PeerMsg::Fact(fact) => handle_fact(control, now, fact),
        PeerMsg::Fetch { from: offset } => forward_records(control, from, offset),
        PeerMsg::Records { records } => {
            records::apply_forwarded(control, &records);
            publish::publish(control, now);
        }
        PeerMsg::Loan { .. }
        | PeerMsg::KeyClaim { .. }
        | PeerMsg::KeyReply { .. }
        | PeerMsg::KeyEnd { .. } => {}
    }
}

fn observe_frame(control: &mut Control, now: Time, from: &InstanceId, leaving: bool) {
    let incarnation = control.peers.get(from).map_or(0, |p| p.incarnation);
    let observation = Observation::FrameReceived {
        instance: from.clone(),
        incarnation,
        leaving,
    };
    control.members.observe(now, &observation);
}

/// Requests records from a peer that has newer ones, if the log service does not answer or no longer
/// has the records that this instance lacks.
fn fetch_if_behind(control: &mut Control, now: Time, from: &InstanceId, offset: u64) {
    let waited = control
        .last_fetch
        .is_none_or(|at| now.since_us(at) >= MIN_FETCH_INTERVAL_MS * 1_000);
    let log_has_records = records::is_log_up(control, now) && !control.state.is_behind();
    if offset <= control.state.offset() || !waited || log_has_records {
        return;
    }
    control.last_fetch = Some(now);
    let fetch = PeerMsg::Fetch {
        from: control.state.offset() + 1,
    };
    control.ctx.peers.send(from, fetch);
}

/// Sends a peer the records from `offset` on, or a snapshot if this instance no longer keeps them.
fn forward_records(control: &Control, to: &InstanceId, offset: u64) {
    if offset > control.state.offset() {
        return;
    }
    if let Some(records) = control.recent.from(offset) {
        control.ctx.peers.send(to, PeerMsg::Records { records });
        return;
    }
    let author = OperatorName::new(control.ctx.settings.instance.as_str());
    for record in control.state.snapshot(&author, Clock::wall()) {
        let Ok(data) = record.encode() else {
            return;
        };
        let records = vec![LogEntry { offset: 0, data }];
        control.ctx.peers.send(to, PeerMsg::Records { records });
    }
}

/// Handles a fact from a peer or from this instance. A new fact is sent to all peers, so that it
/// reaches instances whose link to its source is down. A fact that the log has superseded is ignored:
/// instances that have dropped it would otherwise send it to each other without end.
pub fn handle_fact(control: &mut Control, now: Time, fact: Fact) {
    if control.facts.contains(&fact) || publish::is_superseded(control.state.fold(), &fact) {
        return;
    }
    if control.facts.len() >= MAX_FACTS {
        drop_obsolete_facts(control, now);
    }
    // Stops and zones are few, so that the limit applies to draining targets only.
    if control.facts.len() >= MAX_FACTS && matches!(fact, Fact::Draining { .. }) {
        return;
    }
    info!(event = "fact", instance = %control.ctx.settings.instance, ?fact);
    control
        .members
        .observe(now, &Observation::Fact(fact.clone()));
    control.ctx.peers.send_all(&PeerMsg::Fact(fact.clone()));
    let is_draining = matches!(fact, Fact::Draining { .. });
    control.facts.insert(fact);
    control.published = None;
    // Thousands of targets may drain at once, and each publication processes all facts. Draining
    // targets are therefore published at the next tick, stops and zones at once.
    if !is_draining {
        publish::publish(control, now);
    }
}

/// Drops facts about targets that are gone and about moves that the state no longer contains.
fn drop_obsolete_facts(control: &mut Control, now: Time) {
    let members = control.members.view(now);
    let fold = control.state.fold();
    control.facts.retain(|fact| match fact {
        Fact::Stop { plan, .. } => fold.find_move(plan).is_some(),
        Fact::ZoneOut { .. } => true,
        Fact::Draining { target, .. } => members.targets.iter().any(|t| t.id == *target),
    });
}

/// Sends all facts and own evidence to a peer whose link has just opened and which may lack them.
pub fn handle_link_up(control: &Control, peer: &InstanceId) {
    let ctx = &control.ctx;
    for fact in &control.facts {
        ctx.peers.send(peer, PeerMsg::Fact(fact.clone()));
    }
    for (plan, watch) in &control.watches {
        let routes = watch.evidence.own_counts();
        if !routes.is_empty() {
            ctx.peers.send(peer, evidence_msg(ctx, plan, routes));
        }
    }
}

/// Notifies all dispatchers that messages to and from a peer may be lost.
pub fn handle_link_down(control: &Control, peer: &InstanceId) {
    for dispatcher in control.ctx.dispatchers.load().values() {
        let event = Event::PeerDown { peer: peer.clone() };
        let _ = dispatcher.try_send(DispatchMsg::Event(event));
    }
}

/// Marks this instance as leaving in its own membership view once a planned stop has begun.
pub fn mark_leaving(control: &mut Control, now: Time) {
    let ctx = Arc::clone(&control.ctx);
    if !ctx.progress.is_leaving() {
        return;
    }
    let instance = ctx.settings.instance.clone();
    let observation = Observation::FrameReceived {
        instance,
        incarnation: ctx.incarnation,
        leaving: true,
    };
    control.members.observe(now, &observation);
}
