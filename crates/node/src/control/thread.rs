//! The loop of the control thread and the state that it owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::Arc,
    thread,
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender},
    future::timeout,
    task,
};
use model::{InstanceId, Time};
use state::{Driver, Members, Observation, State};
use wire::{Fact, Record};

use crate::{
    Token,
    clock::Clock,
    context::Context,
    control::{
        ControlEvent, admin, links, move_watch::MoveWatches, moves, peer_events, prober,
        proposals::Proposals, publish, recent::Recent, records,
    },
    node::own_entry,
};

/// Interval of the work that depends on time alone.
const TICK: Duration = Duration::from_millis(100);

/// What a peer said of itself last.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    /// Its process.
    pub incarnation: u64,
    /// Last log offset that it has applied.
    pub offset: u64,
}

/// State of the control thread.
pub struct Control {
    /// Shared parts of the instance.
    pub ctx: Arc<Context>,
    /// Ends all tasks of the instance.
    pub cancel: Token,
    /// Fold of the log.
    pub state: State,
    /// Membership.
    pub members: Members,
    /// Driver of version moves.
    pub driver: Driver,
    /// Facts that were heard or told and still matter.
    pub facts: BTreeSet<Fact>,
    /// Evidence of open moves.
    pub moves: MoveWatches,
    /// Proposals of operators that wait for the log.
    pub proposals: Proposals,
    /// Records for peers that lag.
    pub recent: Recent,
    /// Peers as last heard.
    pub peers: BTreeMap<InstanceId, PeerState>,
    /// Parts of a snapshot that a peer passes on.
    pub adopting: Vec<Record>,
    /// Queue of the appender.
    pub appender: Sender<Record>,
    /// Last time at which the log service answered a read.
    pub log_read: Option<Time>,
    /// Last time at which a peer was asked for records.
    pub fetched: Option<Time>,
    /// Time at which this instance appends the snapshot that is due.
    pub snapshot_at: Option<Time>,
    /// What the published snapshot was made from.
    pub published: Option<publish::Basis>,
    /// Time of the next probes of silent targets.
    pub probe_at: Time,
    /// Time of the next evidence to peers.
    pub evidence_at: Time,
}

impl Control {
    fn new(ctx: Arc<Context>, cancel: Token, appender: Sender<Record>) -> Self {
        let now = ctx.clock.now();
        let me = &ctx.settings.instance;
        Self {
            state: State::default(),
            members: Members::new(&own_entry(&ctx, wire::EntryState::Live), now),
            driver: Driver::new(me, now),
            facts: BTreeSet::new(),
            moves: MoveWatches::new(),
            proposals: Proposals::default(),
            recent: Recent::default(),
            peers: BTreeMap::new(),
            adopting: Vec::new(),
            appender,
            log_read: None,
            fetched: None,
            snapshot_at: None,
            published: None,
            probe_at: now,
            evidence_at: now,
            ctx,
            cancel,
        }
    }
}

/// Starts the control thread. It ends when `cancel` is cancelled.
pub fn spawn_control(
    ctx: Arc<Context>,
    cancel: Token,
    events: Receiver<ControlEvent>,
    appender: Sender<Record>,
) -> io::Result<thread::JoinHandle<()>> {
    let control = Control::new(ctx, cancel, appender);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(control, &events))
}

fn run(mut control: Control, events: &Receiver<ControlEvent>) {
    let cancel = control.cancel.clone();
    let mut next_tick = control.ctx.clock.now();
    loop {
        let now = control.ctx.clock.now();
        if now >= next_tick {
            next_tick = now.plus_us(u64::try_from(TICK.as_micros()).unwrap_or(u64::MAX));
            tick(&mut control, now);
        }
        let wait = Duration::from_micros(next_tick.since_us(now));
        match task::block_on(cancel.run(timeout(wait, events.recv()))) {
            None | Some(Ok(Err(_))) => return,
            Some(Ok(Ok(event))) => take(&mut control, event),
            Some(Err(_)) => {}
        }
    }
}

fn take(control: &mut Control, event: ControlEvent) {
    let now = control.ctx.clock.now();
    match event {
        ControlEvent::LogRead { answer, next } => {
            records::take_read(control, now, &answer);
            let _ = next.try_send(control.state.next_offset());
            publish::publish(control, now);
        }
        ControlEvent::AppendEnded { ids } => control.proposals.note_ended(&ids),
        ControlEvent::List(answer) => {
            control.members.apply_list(now, &answer);
            publish::publish(control, now);
        }
        ControlEvent::Peer { from, msg } => peer_events::take_message(control, now, &from, msg),
        ControlEvent::LinkUp(peer) => peer_events::greet(control, &peer),
        ControlEvent::LinkDown(peer) => peer_events::note_down(control, &peer),
        ControlEvent::Fact(fact) => peer_events::take_fact(control, now, fact),
        ControlEvent::Samples { service, samples } => moves::count(control, &service, &samples),
        ControlEvent::Sightings { answered, failed } => {
            for target in answered {
                control
                    .members
                    .observe(now, &Observation::TargetResponded { target });
            }
            for target in failed {
                control
                    .members
                    .observe(now, &Observation::TargetFailed { target });
            }
        }
        ControlEvent::Admin(request) => admin::answer(control, now, request),
    }
}

fn tick(control: &mut Control, now: Time) {
    let wall = Clock::wall();
    peer_events::note_leaving(control, now);
    moves::tick(control, now, wall);
    records::tick(control, now, wall);
    control.proposals.tick(now);
    prober::probe_silent(control, now);
    publish::publish(control, now);
    links::update(control);
}
