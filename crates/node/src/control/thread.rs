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
        proposals::Proposals, publish, recent::RecentRecords, records,
    },
    node::own_entry,
};

/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(100);

/// State that a peer last reported of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Last log offset that it has applied.
    pub offset: u64,
}

/// State of the control thread.
pub struct Control {
    /// Shared components of the instance.
    pub ctx: Arc<Context>,
    /// Cancels the control thread and the tasks that it starts.
    pub cancel: Token,
    /// State folded from the log.
    pub state: State,
    /// Membership.
    pub members: Members,
    /// Driver of version moves.
    pub driver: Driver,
    /// Facts from peers and from this instance that the log has not superseded.
    pub facts: BTreeSet<Fact>,
    /// Evidence of open moves.
    pub watches: MoveWatches,
    /// Proposals of operators that wait for the log.
    pub proposals: Proposals,
    /// Recent records, for peers that lag behind.
    pub recent: RecentRecords,
    /// State that each peer last reported.
    pub peers: BTreeMap<InstanceId, PeerState>,
    /// Records received so far of a snapshot that a peer is sending.
    pub snapshot_records: Vec<Record>,
    /// Queue of the appender.
    pub appender: Sender<Record>,
    /// Last time at which the log service answered a read.
    pub last_read: Option<Time>,
    /// Last time at which this instance requested records from a peer.
    pub last_fetch: Option<Time>,
    /// Time at which this instance appends the snapshot that is due.
    pub snapshot_at: Option<Time>,
    /// Versions of the inputs of the published snapshot; `None` forces a new one.
    pub published: Option<publish::SnapshotInputs>,
    /// Time of the next probes of silent targets.
    pub probe_at: Time,
    /// Time at which changed evidence is next sent to peers.
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
            watches: MoveWatches::new(),
            proposals: Proposals::default(),
            recent: RecentRecords::default(),
            peers: BTreeMap::new(),
            snapshot_records: Vec::new(),
            appender,
            last_read: None,
            last_fetch: None,
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
            Some(Ok(Ok(event))) => handle_event(&mut control, event),
            Some(Err(_)) => {}
        }
    }
}

fn handle_event(control: &mut Control, event: ControlEvent) {
    let now = control.ctx.clock.now();
    match event {
        ControlEvent::LogRead { answer, next } => {
            records::handle_read(control, now, &answer);
            let _ = next.try_send(control.state.next_offset());
            publish::publish(control, now);
        }
        ControlEvent::AppendEnded { ids } => control.proposals.record_append_ended(&ids),
        ControlEvent::List(answer) => {
            control.members.apply_list(now, &answer);
            publish::publish(control, now);
        }
        ControlEvent::Peer { from, msg } => peer_events::handle_message(control, now, &from, msg),
        ControlEvent::LinkUp(peer) => peer_events::handle_link_up(control, &peer),
        ControlEvent::LinkDown(peer) => peer_events::handle_link_down(control, &peer),
        ControlEvent::Fact(fact) => peer_events::handle_fact(control, now, fact),
        ControlEvent::Samples { service, samples } => moves::count(control, &service, &samples),
        ControlEvent::TargetResults { responded, failed } => {
            for target in responded {
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
    peer_events::mark_leaving(control, now);
    moves::tick(control, now, wall);
    records::tick(control, now, wall);
    control.proposals.tick(now);
    prober::probe_silent(control, now);
    publish::publish(control, now);
    links::update(control);
}
