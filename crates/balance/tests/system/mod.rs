//! Instances in virtual time that send each other reports and digests.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
};

use balance::{
    COLLECT, COLLECTORS, Collector, FanOut, InstanceList, ListCall, LiveView, Member, Members,
    Presence,
};
use model::{InstanceId, Time, Zone};
use rand::{
    Rng, SeedableRng,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

/// Longest time for a datagram, with the wait of the receiving task for the processor, in microseconds.
const MAX_TRANSIT_US: u64 = 40_000;
/// Transmission time of one digest at 0.4 of 20 Mbit/s, in microseconds.
const DIGEST_US: u64 = 1_500;
/// Time in which all instances start, in microseconds.
const START_US: u64 = 300_000;
/// Zones of the system.
const ZONES: usize = 5;
/// Time between two checks of rosters, in microseconds.
const ROSTER_CHECK_US: u64 = 500_000;
/// Time for an instance to find others through the seeds before it looks into the store, and time between
/// two calls to the store, in microseconds.
const DISCOVERY_US: u64 = 1_500_000;
const LIST_CHECK_US: u64 = 250_000;

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
}

#[derive(Clone, Debug)]
struct Digest {
    sender: Member,
    view: Option<LiveView>,
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
enum Message {
    Report(Member),
    Digest(Box<Digest>, Vec<SocketAddr>),
}

#[derive(Clone, Debug)]
enum Event {
    SendReport(usize, u64),
    SendDigest(usize, u64),
    CheckRoster(usize, u64),
    FollowList(usize, u64),
    Receive(usize, SocketAddr, Message),
}

struct Node {
    members: Members,
    collector: Collector,
    list: InstanceList,
    is_collector: bool,
    is_up: bool,
    frozen_until: u64,
    /// Time from which datagrams may have waited in the socket.
    empty_at: u64,
    incarnation: u64,
}

pub struct System {
    nodes: Vec<Node>,
    index: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    pending: Vec<Option<Event>>,
    now: u64,
    rng: StdRng,
    trouble: Trouble,
    cut_zone: Option<usize>,
    datagrams: u64,
    /// The list of instances in the store: offset of each entry.
    listed: BTreeMap<SocketAddr, u64>,
    store_calls: u64,
}

fn addr(index: usize) -> SocketAddr {
    let high = u8::try_from(index / 250).unwrap();
    let low = u8::try_from(index % 250).unwrap();
    SocketAddr::from(([10, 1, high, low], 7_660))
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation,
        revision: 0,
        zone: Zone::new(["a", "b", "c", "d", "e"][index % ZONES]),
        caller_addr: addr(index),
        peer_addr: addr(index),
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: if index.is_multiple_of(31) { 200 } else { 20 },
        last_heard: None,
    }
}

impl System {
    pub fn new(count: usize, trouble: Trouble, seed: u64) -> Self {
        let mut system = Self {
            nodes: Vec::new(),
            index: BTreeMap::new(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            trouble,
            cut_zone: None,
            datagrams: 0,
            listed: BTreeMap::new(),
            store_calls: 0,
        };
        system.add(count);
        system
    }

    /// Starts `count` more instances.
    pub fn add(&mut self, count: usize) {
        for _ in 0..count {
            let node = self.nodes.len();
            self.index.insert(addr(node), node);
            self.nodes.push(Node {
                members: Members::new(member(node, 1)),
                collector: Collector::default(),
                list: InstanceList::default(),
                is_collector: false,
                is_up: true,
                frozen_until: 0,
                empty_at: self.now,
                incarnation: 1,
            });
            self.start(node);
        }
    }

    fn start(&mut self, node: usize) {
        let at = self.now + self.rng.random_range(0..START_US);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(at, Event::SendReport(node, incarnation));
        self.schedule(at + 100_000, Event::SendDigest(node, incarnation));
        self.schedule(at + ROSTER_CHECK_US, Event::CheckRoster(node, incarnation));
        self.schedule(at + DISCOVERY_US, Event::FollowList(node, incarnation));
    }

    /// Ends all instances and starts them again.
    pub fn restart_all(&mut self) {
        for node in 0..self.nodes.len() {
            let incarnation = self.nodes[node].incarnation + 1;
            self.nodes[node] = Node {
                members: Members::new(member(node, incarnation)),
                collector: Collector::default(),
                list: InstanceList::default(),
                is_collector: false,
                is_up: true,
                frozen_until: 0,
                empty_at: self.now,
                incarnation,
            };
            self.start(node);
        }
    }

    pub fn kill(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.nodes[*node].is_up = false;
        }
    }

    pub fn freeze(&mut self, node: usize, for_us: u64) {
        self.nodes[node].frozen_until = self.now + for_us;
    }

    pub fn cut_zone(&mut self, zone: usize, is_cut: bool) {
        self.cut_zone = is_cut.then_some(zone);
    }

    /// Returns `count` random instances.
    pub fn random(&mut self, count: usize) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        nodes.shuffle(&mut self.rng);
        nodes.truncate(count);
        nodes
    }

    /// Returns the instances that collect, by their own view.
    pub fn collectors(&self) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes.filter(|n| self.nodes[*n].is_collector).collect()
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn reset_counts(&mut self) {
        self.datagrams = 0;
    }

    /// Returns the number of calls to the store.
    pub fn store_calls(&self) -> u64 {
        self.store_calls
    }

    /// Returns the number of sent datagrams for each instance.
    #[expect(clippy::cast_precision_loss, reason = "counts of datagrams")]
    pub fn mean_datagrams(&self) -> f64 {
        self.datagrams as f64 / self.nodes.len() as f64
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.pending.len())));
        self.pending.push(Some(event));
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.events.peek().copied()
            && at <= end
        {
            self.events.pop();
            self.now = self.now.max(at);
            let event = self.pending[number].take().expect("events come once");
            self.handle(event);
        }
        self.now = self.now.max(end);
    }

    /// Runs until the views of all instances are right. Returns the time that took.
    pub fn time_until_right(&mut self) -> u64 {
        let start = self.now;
        loop {
            self.run_until(self.now + 100_000);
            let took_us = self.now - start;
            if self.wrong_views() == 0 || took_us > 15_000_000 {
                return took_us;
            }
        }
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        self.cut_zone
            .is_none_or(|zone| (a % ZONES == zone) == (b % ZONES == zone))
    }

    /// Returns the number of pairs of instances of which the first has a wrong view of the second: a
    /// live one that it can reach counts as dead, or a dead one as live.
    pub fn wrong_views(&self) -> usize {
        self.wrong_views_but(usize::MAX)
    }

    /// The same without the views of one instance, and the views on it.
    pub fn wrong_views_but(&self, left_out: usize) -> usize {
        let mut wrong = 0;
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.is_up || index == left_out {
                continue;
            }
            let mut is_live = vec![false; self.nodes.len()];
            for member in node.members.live() {
                is_live[self.index[&member.peer_addr]] = true;
            }
            for (other, state) in self.nodes.iter().enumerate() {
                if other == index || other == left_out {
                    continue;
                }
                let should = state.is_up && self.can_reach(index, other);
                wrong += usize::from(is_live[other] != should);
            }
        }
        wrong
    }

    /// Returns the live instances that count `other` as live.
    pub fn naming(&self, other: usize) -> Vec<usize> {
        let counts = |node: &Node| node.members.live().any(|m| m.peer_addr == addr(other));
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.is_up && counts(node))
            .map(|(index, _)| index)
            .collect()
    }

    fn handle(&mut self, event: Event) {
        let (node, incarnation) = match &event {
            Event::SendReport(node, incarnation)
            | Event::SendDigest(node, incarnation)
            | Event::CheckRoster(node, incarnation)
            | Event::FollowList(node, incarnation) => (*node, *incarnation),
            Event::Receive(node, ..) => (*node, self.nodes[*node].incarnation),
        };
        let state = &self.nodes[node];
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        if self.now < state.frozen_until {
            self.schedule(state.frozen_until, event);
            return;
        }
        match event {
            Event::SendReport(..) => self.send_report(node),
            Event::SendDigest(..) => self.send_digest(node),
            Event::CheckRoster(..) => self.check_roster(node),
            Event::FollowList(..) => self.follow_list(node),
            Event::Receive(_, from, message) => self.receive(node, from, message),
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, delay_us: u64, message: Message) {
        self.datagrams += 1;
        let transit_us = self.rng.random_range(1_000..MAX_TRANSIT_US);
        let Some(receiver) = self.index.get(&to).copied() else {
            return;
        };
        if self.rng.random::<f64>() < self.trouble.loss || !self.can_reach(node, receiver) {
            return;
        }
        let at = self.now + delay_us + transit_us;
        self.schedule(at, Event::Receive(receiver, addr(node), message));
    }

    fn send_report(&mut self, node: usize) {
        let now = Time(self.now);
        let members = &mut self.nodes[node].members;
        members.sweep(now);
        let mut addrs = members.receivers(now);
        addrs.extend(members.addresses_to_try());
        let dead: Vec<SocketAddr> = members.dead().map(|m| m.peer_addr).collect();
        addrs.extend(dead.choose(&mut self.rng));
        let seeds = (0..3).map(addr).filter(|seed| members.get(*seed).is_none());
        addrs.extend(seeds);
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|to| *to != addr(node));
        let own = members.own().clone();
        let interval_us = members.interval_ms() * 1_000;
        for to in addrs {
            self.send(node, to, 0, Message::Report(own.clone()));
        }
        let incarnation = self.nodes[node].incarnation;
        let late_us = self.rng.random_range(0..20_000);
        let at = self.now + interval_us + late_us;
        self.schedule(at, Event::SendReport(node, incarnation));
    }

    fn send_digest(&mut self, node: usize) {
        let now = Time(self.now);
        let state = &mut self.nodes[node];
        let interval_us = state.members.interval_ms() * 1_000;
        let has_duty = state.members.duty_rank(COLLECT) < COLLECTORS;
        state.is_collector = state.collector.update_duty(has_duty, &state.members, now);
        if state.is_collector {
            let view = state.collector.view(&state.members, now);
            if let Some(view) = &view {
                state.members.record_view(addr(node), view, now);
            }
            let news = state.collector.take_news().into_iter();
            let news: Vec<Member> = news.filter_map(|a| state.members.get(a).cloned()).collect();
            let digest = Digest {
                sender: state.members.own().clone(),
                view,
                members: news,
            };
            let mut live: Vec<Member> = state.members.live().cloned().collect();
            live.shuffle(&mut self.rng);
            let groups = FanOut::groups(live.iter().collect(), DIGEST_US);
            for (group, sent) in groups.into_iter().zip(0..) {
                let message = Message::Digest(Box::new(digest.clone()), group.others);
                self.send(node, group.relay, sent * DIGEST_US, message);
            }
        }
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now + interval_us, Event::SendDigest(node, incarnation));
    }

    /// Fetches the roster of a collector if it is due, as over a connection that is not lost.
    fn check_roster(&mut self, node: usize) {
        let now = Time(self.now);
        let state = &mut self.nodes[node];
        if let Some(from) = state.members.roster_source(state.is_collector, now) {
            state.members.defer_roster(from, now);
            let source = self.index[&from];
            if self.nodes[source].is_up && self.can_reach(node, source) {
                let listed = self.nodes[source].members.roster();
                let listed = listed.map(|m| (m.clone(), m.last_heard)).collect();
                let recent = Time(self.now.saturating_sub(2_000_000));
                let members = &mut self.nodes[node].members;
                members.replace_roster(from, listed, recent);
            }
        }
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + ROSTER_CHECK_US;
        self.schedule(at, Event::CheckRoster(node, incarnation));
    }

    /// Makes the call to the list of instances in the store that is due.
    fn follow_list(&mut self, node: usize) {
        let now = Time(self.now);
        let state = &mut self.nodes[node];
        let is_first = state.members.duty_rank(COLLECT) == 0;
        let call = state.list.due(now, is_first, Some(1));
        self.store_calls += u64::from(call.is_some());
        match call {
            Some(ListCall::Announce) => {
                self.listed.insert(addr(node), self.store_calls);
                state.list.record_announced(1, now);
            }
            Some(ListCall::Read) => {
                let entries = self.listed.iter().map(|(addr, offset)| (*addr, *offset));
                let addrs = state.list.record_entries(entries, now);
                state.members.add_addresses(addrs);
            }
            None => {}
        }
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + LIST_CHECK_US;
        self.schedule(at, Event::FollowList(node, incarnation));
    }

    fn receive(&mut self, node: usize, from: SocketAddr, message: Message) {
        let now = Time(self.now);
        let state = &mut self.nodes[node];
        let since = state.members.arrived_at(Time(state.empty_at), now);
        // What came during a pause is read in a row when it ends.
        if self.now > state.frozen_until {
            state.empty_at = self.now;
        }
        match message {
            Message::Report(sender) => {
                let is_change = state.members.record_heard(sender, since);
                if state.is_collector {
                    state.collector.record_report(from, is_change, since);
                    return;
                }
                let collectors = state.members.collectors().into_iter();
                let members = collectors.filter(|m| m.peer_addr != addr(node));
                let welcome = Digest {
                    sender: state.members.own().clone(),
                    view: None,
                    members: members.cloned().collect(),
                };
                self.send(node, from, 0, Message::Digest(Box::new(welcome), vec![]));
            }
            Message::Digest(digest, forward_to) => {
                let sender = digest.sender.clone();
                let collector = sender.peer_addr;
                if collector == from {
                    state.members.record_heard(sender, since);
                } else {
                    state.members.record_named(sender, since);
                }
                for member in &digest.members {
                    state.members.record_named(member.clone(), since);
                }
                if let Some(view) = &digest.view {
                    state.members.record_view_as_of(collector, view, since, now);
                }
                let forward_to = if since == now { forward_to } else { vec![] };
                for (to, sent) in forward_to.into_iter().zip(0..) {
                    let message = Message::Digest(digest.clone(), vec![]);
                    self.send(node, to, sent * DIGEST_US, message);
                }
            }
        }
    }
}
