//! Collects and shares the evidence of open version moves, and appends the proposals of their driver.

use model::{ServiceName, Time, Wall};
use state::DriverInput;
use wire::PeerMsg;

use crate::control::{Sample, move_watch::MoveWatch, peer_events, thread::Control};

/// Interval between two messages with changed counters to peers, in milliseconds.
const EVIDENCE_INTERVAL_MS: u64 = 250;

/// Adds attempts of this instance to the evidence of the open move of their service.
pub fn count(control: &mut Control, service: &ServiceName, samples: &[Sample]) {
    let Some(move_id) = open_move_id(control, service) else {
        return;
    };
    if let Some(watch) = control.watches.get_mut(&move_id) {
        watch.count(samples);
    }
}

fn open_move_id(control: &Control, service: &ServiceName) -> Option<String> {
    let service = control.state.fold().services.get(service)?;
    Some(service.open_move()?.id.clone())
}

/// Updates the watches, sends changed evidence to peers, and runs the driver.
pub fn tick(control: &mut Control, now: Time, wall: Wall) {
    sync_watches(control);
    if control.watches.is_empty() {
        return;
    }
    if now >= control.evidence_at {
        control.evidence_at = now.plus_ms(EVIDENCE_INTERVAL_MS);
        send_evidence(control);
    }
    let fold = control.state.fold();
    let mut evidence = std::collections::BTreeMap::new();
    for (move_id, watch) in &mut control.watches {
        let share = fold.find_move(move_id).map_or(0, |(_, m)| m.share);
        evidence.insert(move_id.clone(), watch.assess_at(share, now));
    }
    let members = control.members.view(now);
    let output = control.driver.tick(DriverInput {
        now,
        wall,
        fold,
        members: &members,
        facts: &control.facts,
        evidence: &evidence,
    });
    for record in output.records {
        let _ = control.appender.try_send(record);
    }
    for fact in output.facts {
        peer_events::handle_fact(control, now, fact);
    }
}

fn sync_watches(control: &mut Control) {
    let (me, incarnation) = (&control.ctx.settings.instance, control.ctx.incarnation);
    let fold = control.state.fold();
    control
        .watches
        .retain(|move_id, _| fold.find_move(move_id).is_some_and(|(_, m)| m.is_open()));
    for (_, version_move) in fold.open_moves() {
        if !control.watches.contains_key(&version_move.id) {
            let watch = MoveWatch::new(version_move, me, incarnation);
            control.watches.insert(version_move.id.clone(), watch);
        }
    }
}

fn send_evidence(control: &mut Control) {
    for (move_id, watch) in &mut control.watches {
        let routes = watch.evidence.take_changes();
        if !routes.is_empty() {
            control
                .ctx
                .peers
                .send_all(&evidence_msg(&control.ctx, move_id, routes));
        }
    }
}

/// Returns a message with counters of this process.
pub fn evidence_msg(
    ctx: &crate::context::Context,
    move_id: &str,
    routes: Vec<(model::Version, String, wire::RouteCounts)>,
) -> PeerMsg {
    PeerMsg::Evidence {
        instance: ctx.settings.instance.clone(),
        incarnation: ctx.incarnation,
        plan: move_id.to_owned(),
        routes,
    }
}
