//! Answers requests that the administration API sends to the control thread.

use std::collections::{BTreeMap, BTreeSet};

use async_std::channel::Sender;
use model::{Code, Time};
use state::{MoveState, Scope, ServiceState};
use wire::{Body, ConfigAnswer, Fact, MoveStatus, ProposalAnswer, Record, Status};

use crate::control::{
    AdminRequest, StatusReply, peer_events, proposals::pending, records::is_log_up, thread::Control,
};

/// Executes one request and sends the result to its reply channel.
pub fn answer(control: &mut Control, now: Time, request: AdminRequest) {
    match request {
        AdminRequest::Propose { record, reply } => propose(control, now, record, reply),
        AdminRequest::Lookup { tenant, id, reply } => {
            let scope = tenant.map_or(Scope::Zones, Scope::Tenant);
            let _ = reply.try_send(lookup(control, &scope, &id));
        }
        AdminRequest::Status { reply } => {
            let _ = reply.try_send(status(control, now));
        }
        AdminRequest::Config { tenant, reply } => {
            let known = control.state.fold().tenants.get(&tenant);
            let answer = known.map(|t| ConfigAnswer {
                revision: t.revision,
                text: t.text.clone(),
            });
            let _ = reply.try_send(answer.unwrap_or_default());
        }
        AdminRequest::Audit { from, limit, reply } => {
            let entries = control
                .state
                .audit()
                .filter(|e| e.offset >= from)
                .take(limit);
            let _ = reply.try_send(entries.cloned().collect());
        }
    }
}

fn propose(control: &mut Control, now: Time, record: Record, reply: Sender<ProposalAnswer>) {
    let Some(scope) = Scope::of(&record.body) else {
        let detail = "not a proposal of an operator".to_owned();
        let _ = reply.try_send(ProposalAnswer {
            id: record.id,
            code: Code::Invalid,
            offset: None,
            detail,
        });
        return;
    };
    if let Some(known) = control.state.proposal(&scope, &record.id) {
        let _ = reply.try_send(decided_answer(&known));
        return;
    }
    if control.proposals.is_waiting(&scope, &record.id) {
        control
            .proposals
            .replace_reply(now, &scope, &record.id, reply);
        return;
    }
    if control.proposals.is_full() {
        let detail = "too many proposals wait for the log; ask again later".to_owned();
        let _ = reply.try_send(ProposalAnswer {
            id: record.id,
            code: Code::LogDown,
            offset: None,
            detail,
        });
        return;
    }
    announce_zone_out(control, now, &record.body);
    let queued = control.appender.try_send(record.clone()).is_ok();
    let id = record.id.clone();
    control.proposals.add(now, scope, record, reply);
    if !queued {
        control.proposals.record_append_ended(&[id]);
    }
}

/// Sends peers the fact that a zone is out before the log has decided the proposal, because taking a
/// zone out is urgent and safe. If the log rejects the proposal as stale, the zone's later change has
/// a higher offset and overrides the fact.
fn announce_zone_out(control: &mut Control, now: Time, body: &Body) {
    let Body::Zone {
        zone,
        base,
        out: true,
    } = body
    else {
        return;
    };
    let changed = control
        .state
        .fold()
        .zones
        .get(zone)
        .map_or(0, |z| z.changed);
    if *base == changed {
        let fact = Fact::ZoneOut {
            zone: zone.clone(),
            base: *base,
        };
        peer_events::handle_fact(control, now, fact);
    }
}

fn decided_answer(known: &state::Proposal) -> ProposalAnswer {
    ProposalAnswer {
        id: known.id.clone(),
        code: known.code,
        offset: Some(known.offset),
        detail: known.code.text().to_owned(),
    }
}

fn lookup(control: &Control, scope: &Scope, id: &str) -> Option<ProposalAnswer> {
    if control.proposals.is_waiting(scope, id) {
        return Some(pending(id));
    }
    control
        .state
        .proposal(scope, id)
        .as_ref()
        .map(decided_answer)
}

fn status(control: &mut Control, now: Time) -> StatusReply {
    let members = control.members.view(now);
    let fold = control.state.fold();
    let moves = fold.services.iter().filter_map(|(name, s)| {
        let version_move = s.last_move.as_ref()?;
        Some(move_status(name, version_move))
    });
    let status = Status {
        instance: control.ctx.settings.instance.clone(),
        offset: control.state.offset(),
        peers: members
            .live()
            .filter_map(|i| Some((i.id.clone(), control.peers.get(&i.id)?.offset)))
            .collect(),
        revisions: fold
            .tenants
            .iter()
            .map(|(t, s)| (t.clone(), s.revision))
            .collect(),
        zones: fold
            .zones
            .iter()
            .map(|(z, s)| (z.clone(), (s.out, s.changed)))
            .collect(),
        moves: moves.collect(),
        log_up: is_log_up(control, now),
    };
    let owner = |(name, s): (&model::ServiceName, &ServiceState)| (name.clone(), s.tenant.clone());
    let owners: BTreeMap<_, _> = fold.services.iter().map(owner).collect();
    let seen = members.targets.iter().map(|t| t.zone.clone());
    let zones: BTreeSet<_> = seen
        .chain(members.instances.iter().map(|i| i.zone.clone()))
        .collect();
    StatusReply {
        status,
        owners,
        zones,
    }
}

fn move_status(service: &model::ServiceName, version_move: &MoveState) -> MoveStatus {
    let outcome = version_move.outcome.as_ref();
    let stop = version_move.stop.clone().unwrap_or_default();
    MoveStatus {
        plan: version_move.id.clone(),
        service: service.clone(),
        from: version_move.from.clone(),
        to: version_move.to.clone(),
        deadline: version_move.deadline,
        share: version_move.share,
        verdict: outcome.map(|o| o.verdict),
        reason: outcome.map_or(stop, |o| o.reason.clone()),
        decided: outcome.map(|o| o.at),
    }
}
