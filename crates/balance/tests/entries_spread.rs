//! News of leaving targets in virtual time: two instances read the store in turn and tell the
//! others, over links of 10 Mbit/s and on processors on which everything is late.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
};

use balance::{EntryChange, EntryLog, FanOut, Member, Presence, ReadSchedule, SendPace};
use model::{InstanceId, TargetId, Time, Zone};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Time within which all instances must know that a target leaves, in microseconds: the smallest
/// limit of a deployment, 2 s, less the way of a request to the target.
const LIMIT_US: u64 = 1_750_000;
/// Time for which a task waits for the processor, in microseconds.
const LATE_US: u64 = 20_000;
/// Time for a datagram to another zone, in microseconds.
const TRANSIT_US: u64 = 1_000;
/// Time in which the store answers, in microseconds.
const STORE_US: u64 = 4_000;
/// Longest time between two checks of whether to read, in microseconds.
const CHECK_US: u64 = 150_000;
/// Time of a datagram of 1,400 bytes at 0.4 of a link of 10 Mbit/s, in microseconds.
const DATAGRAM_US: u64 = 2_900;
/// Changes in a datagram.
const CHANGES: usize = 60;

#[derive(Clone, Debug)]
struct Update {
    as_of: Time,
    from: u64,
    next: u64,
    end: u64,
    changes: Vec<(u64, EntryChange)>,
    forward_to: Vec<SocketAddr>,
}

#[derive(Debug)]
enum Event {
    /// The instance checks whether to read.
    Check(usize),
    /// The store answers a read that was asked for at that time.
    Read(usize, Time),
    Receive(usize, Update),
}

#[derive(Debug)]
struct Node {
    log: EntryLog,
    as_of: Time,
    is_own: bool,
    pace: SendPace,
    draw: u64,
    sent: u64,
}

/// What happens to the system beside the leaving of targets.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Number of the datagram that is lost, counted from the ack on.
    lost: Option<usize>,
    /// The first reader ends at the ack; the others do not notice in time.
    has_ended: bool,
}

struct System {
    nodes: Vec<Node>,
    members: Vec<Member>,
    index: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Time, usize)>>,
    pending: Vec<Option<Event>>,
    /// Times and changes of the store's records.
    records: Vec<(Time, EntryChange)>,
    rng: StdRng,
    trouble: Trouble,
    /// Time at which the store acknowledges that the targets leave.
    ack: Time,
    datagrams: usize,
    reads: usize,
}

fn member(index: usize) -> Member {
    let high = u8::try_from(index / 250).unwrap();
    let low = u8::try_from(index % 250).unwrap();
    let addr = SocketAddr::from(([10, 1, high, low], 7_660));
    Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation: 1,
        revision: 0,
        zone: Zone::new(["a", "b", "c"][index % 3]),
        caller_addr: addr,
        peer_addr: addr,
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: 1_000,
        last_heard: Some(Time(1)),
    }
}

fn node(rng: &mut StdRng) -> Node {
    let mut log = EntryLog::default();
    log.extend(0, []);
    Node {
        log,
        as_of: Time(0),
        is_own: true,
        pace: SendPace::default(),
        draw: rng.random_range(ReadSchedule::DRAWS),
        sent: 0,
    }
}

impl System {
    /// Returns a system of `count` instances in which `leaving` targets leave at the same time.
    fn new(count: usize, leaving: u64, trouble: Trouble, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ack = Time(5_000_000 + rng.random_range(0..1_000_000));
        let members: Vec<Member> = (0..count).map(member).collect();
        let record = |i| (ack, EntryChange::Draining(TargetId::new(&format!("i-{i}"))));
        let mut system = Self {
            nodes: (0..count).map(|_| node(&mut rng)).collect(),
            index: members.iter().map(|m| m.peer_addr).zip(0..).collect(),
            members,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            records: (0..leaving).map(record).collect(),
            rng,
            trouble,
            ack,
            datagrams: 0,
            reads: 0,
        };
        for node in 0..count {
            system.schedule(Time(0), Event::Check(node));
        }
        system
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, self.pending.len())));
        self.pending.push(Some(event));
    }

    /// Whether an instance has ended.
    fn has_ended(&self, node: usize, now: Time) -> bool {
        self.trouble.has_ended && node == 0 && now >= self.ack
    }

    /// Handles the next event and returns its time.
    fn step(&mut self) -> Time {
        let Reverse((now, number)) = self.events.pop().expect("instances check for ever");
        let event = self.pending[number].take().expect("events come once");
        match event {
            Event::Check(node) | Event::Read(node, _) | Event::Receive(node, _)
                if self.has_ended(node, now) => {}
            Event::Check(node) => self.check(node, now),
            Event::Read(node, asked) => self.finish_read(node, asked, now),
            Event::Receive(node, update) => self.receive(node, update, now),
        }
        now
    }

    /// Runs until all living instances know all records. Returns the time since the ack.
    fn time_until_known(mut self) -> u64 {
        let all = Some(self.records.len() as u64);
        loop {
            let now = self.step();
            let knows = |n: usize| self.has_ended(n, now) || self.nodes[n].log.next() == all;
            if (0..self.nodes.len()).all(knows) {
                return now.since_us(self.ack);
            }
            assert!(now.since_us(self.ack) < 10_000_000, "not known after 10 s");
        }
    }

    fn check(&mut self, node: usize, now: Time) {
        let known = &self.nodes[node];
        let schedule = ReadSchedule {
            rank: node,
            draw: known.draw,
        };
        let due = known.as_of.plus_us(schedule.read_age_us(known.is_own));
        if now < due {
            let wait_us = due.since_us(now).min(CHECK_US) + LATE_US;
            self.schedule(now.plus_us(wait_us), Event::Check(node));
        } else {
            self.reads += 1;
            self.nodes[node].draw = self.rng.random_range(ReadSchedule::DRAWS);
            self.schedule(now.plus_us(STORE_US + LATE_US), Event::Read(node, now));
        }
    }

    fn finish_read(&mut self, node: usize, asked: Time, now: Time) {
        let known = self.nodes[node].log.next().unwrap();
        let records = self.records.iter().zip(0..);
        let new: Vec<_> = records
            .filter(|((at, _), offset)| *at <= asked && *offset >= known)
            .map(|((_, change), offset)| (offset, change.clone()))
            .collect();
        let end = known + new.len() as u64;
        let reader = &mut self.nodes[node];
        reader.log.extend(end, new);
        if reader.as_of < asked {
            (reader.as_of, reader.is_own) = (asked, true);
        }
        let from = std::mem::replace(&mut reader.sent, end).min(known);
        if (ReadSchedule {
            rank: node,
            draw: 0,
        })
        .is_teller()
        {
            self.send(node, from, now);
        }
        self.schedule(now, Event::Check(node));
    }

    fn send(&mut self, node: usize, from: u64, now: Time) {
        let (mut from, changes) = self.nodes[node].log.since(from);
        let end = self.nodes[node].log.next().unwrap();
        let as_of = self.nodes[node].as_of;
        let mut parts: Vec<&[(u64, EntryChange)]> = changes.chunks(CHANGES).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        let mut others: Vec<&Member> = self.members.iter().collect();
        others.remove(node);
        others.shuffle(&mut self.rng);
        let groups = FanOut::groups(others, DATAGRAM_US * parts.len() as u64);
        for (index, part) in parts.iter().enumerate() {
            let next = parts.get(index + 1).map_or(end, |following| following[0].0);
            for group in &groups {
                let update = Update {
                    as_of,
                    from,
                    next,
                    end,
                    changes: part.to_vec(),
                    forward_to: group.others.clone(),
                };
                self.send_datagram(node, group.relay, update, now);
            }
            from = next;
        }
    }

    fn send_datagram(&mut self, node: usize, to: SocketAddr, update: Update, now: Time) {
        let wait_us = self.nodes[node].pace.add_datagram(now, DATAGRAM_US);
        let late_us = if wait_us > 0 { LATE_US } else { 0 };
        let at = now.plus_us(wait_us + late_us + TRANSIT_US + LATE_US);
        if now >= self.ack {
            self.datagrams += 1;
            if self.trouble.lost == Some(self.datagrams) {
                return;
            }
        }
        self.schedule(at, Event::Receive(self.index[&to], update));
    }

    fn receive(&mut self, node: usize, mut update: Update, now: Time) {
        for addr in std::mem::take(&mut update.forward_to) {
            self.send_datagram(node, addr, update.clone(), now);
        }
        let receiver = &mut self.nodes[node];
        let known = receiver.log.next().unwrap();
        if update.from <= known && update.next >= known {
            receiver.log.extend(update.next, update.changes);
        }
        if receiver.log.next() >= Some(update.end) && receiver.as_of < update.as_of {
            (receiver.as_of, receiver.is_own) = (update.as_of, false);
        }
    }
}

/// Guards against updates that take so long to send that all instances read the store themselves:
/// without any trouble, half of the time must be enough.
#[test]
fn leaving_targets_nothing_lost() {
    for (count, leaving) in [(16, 100), (103, 34), (103, 300), (300, 300)] {
        for seed in 0..10 {
            let took_us = System::new(count, leaving, Trouble::default(), seed).time_until_known();
            let case = format!("{count} instances, {leaving} targets, seed {seed}");
            assert!(took_us <= LIMIT_US / 2, "{case}: {took_us} us");
        }
    }
}

/// Guards against delays that add up: the time to the next read, the time to send many datagrams to
/// many instances over slow links, and one lost datagram.
#[test]
fn leaving_targets_one_lost_datagram() {
    let sizes = [
        (16, 1),
        (16, 100),
        (103, 1),
        (103, 34),
        (103, 300),
        (300, 300),
    ];
    for (count, leaving) in sizes {
        for seed in 0..20 {
            let trouble = Trouble {
                lost: usize::try_from(2 * seed).ok(),
                has_ended: false,
            };
            let took_us = System::new(count, leaving, trouble, seed).time_until_known();
            let case = format!("{count} instances, {leaving} targets, seed {seed}");
            assert!(took_us <= LIMIT_US, "{case}: {took_us} us");
        }
    }
}

/// Guards against a reader that ends, and that the other one still chooses as a relay.
#[test]
fn leaving_targets_reader_has_ended() {
    for count in [16, 103, 300] {
        for seed in 0..20 {
            let trouble = Trouble {
                lost: None,
                has_ended: true,
            };
            let took_us = System::new(count, 34, trouble, seed).time_until_known();
            let case = format!("{count} instances, seed {seed}");
            assert!(took_us <= LIMIT_US, "{case}: {took_us} us");
        }
    }
}

/// Guards against readers that read more often than needed, each read of which costs money.
#[test]
fn readers_take_turns_when_nothing_happens() {
    let mut system = System::new(103, 1, Trouble::default(), 1);
    while system.step() < Time(60_000_000) {}
    // One read in 0.45 s makes 133.
    assert!(system.reads <= 150, "{} reads in 60 s", system.reads);
}
