//! Randomised runs with fixed seeds. Several states read one log with delays, repeated, truncated
//! and foreign records, snapshots, and records that the log drops. Simulated instances go through
//! outages, pauses, replacements and clock differences. After every step the tests check that states
//! at the same offset are equal, that no state goes back, and that all instances have the same
//! outcome for each move.

mod support;

use std::collections::BTreeMap;

use model::{OperatorName, Wall};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state::{Outcome, State};
use support::{EPOCH_MS, Fault, Fleet, Node, TICK_MS, document, instance, move_id};
use wire::{Body, Record, Verdict};

const READERS: usize = 3;
const CASES: u32 = 32;
const STEPS: usize = 250;
const DEADLINE_MS: u64 = 30_000;

/// A step of a run. Proposals that are not `fresh` are made against an outdated value.
#[derive(Clone, Debug)]
enum Op {
    Document {
        fresh: bool,
        version: Option<u8>,
    },
    Zone {
        fresh: bool,
        out: bool,
    },
    Step {
        fresh: bool,
    },
    Verdict {
        done: bool,
    },
    Stop,
    RepeatLast,
    Truncated,
    Foreign,
    /// Appends a snapshot, without one of its parts if `lost` is given.
    Snapshot {
        lost: Option<u8>,
    },
    /// Drops this many of the oldest records from the log.
    Expire(u8),
    Read {
        reader: usize,
        count: u8,
    },
    ReadAgain {
        reader: usize,
        back: u8,
    },
    Restart {
        reader: usize,
    },
    /// Passes a snapshot from one reader to another.
    Adopt {
        from: usize,
        to: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let reader = 0..READERS;
    prop_oneof![
        2 => (any::<bool>(), prop::option::of(1..5_u8))
            .prop_map(|(fresh, version)| Op::Document { fresh, version }),
        2 => any::<(bool, bool)>().prop_map(|(fresh, out)| Op::Zone { fresh, out }),
        14 => prop::bool::weighted(0.9).prop_map(|fresh| Op::Step { fresh }),
        2 => any::<bool>().prop_map(|done| Op::Verdict { done }),
        1 => Just(Op::Stop),
        2 => Just(Op::RepeatLast),
        1 => Just(Op::Truncated),
        1 => Just(Op::Foreign),
        2 => prop::option::weighted(0.3, any::<u8>()).prop_map(|lost| Op::Snapshot { lost }),
        1 => (1..20_u8).prop_map(Op::Expire),
        12 => (reader.clone(), 1..20_u8).prop_map(|(reader, count)| Op::Read { reader, count }),
        2 => (reader.clone(), 1..20_u8)
            .prop_map(|(reader, back)| Op::ReadAgain { reader, back }),
        1 => reader.clone().prop_map(|reader| Op::Restart { reader }),
        1 => (reader.clone(), reader).prop_map(|(from, to)| Op::Adopt { from, to }),
    ]
}

/// A log, a state that applies every record at once, and states that read with delays.
struct World {
    log: Vec<String>,
    /// Smallest offset that the log still holds.
    first_offset: u64,
    writer: State,
    readers: Vec<State>,
    /// State of the writer at each offset, as JSON.
    history: BTreeMap<u64, String>,
    outcomes: BTreeMap<String, Outcome>,
    /// Offset of each state at its last check.
    checked: [u64; READERS + 1],
}

fn json(state: &State) -> String {
    serde_json::to_string(state.fold()).unwrap()
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            log: Vec::new(),
            first_offset: 1,
            writer: State::default(),
            readers: vec![State::default(); READERS],
            history: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            checked: [u64::MAX; READERS + 1],
        };
        world.history.insert(0, json(&world.writer));
        world
    }

    fn append(&mut self, line: String) {
        self.log.push(line);
        let offset = self.log.len() as u64;
        self.writer.apply(offset, &self.log[self.log.len() - 1]);
        self.history.insert(offset, json(&self.writer));
    }

    fn propose(&mut self, body: Body) {
        let record = Record {
            id: format!("p-{}", self.log.len()),
            author: OperatorName::new("ana"),
            at: Wall(EPOCH_MS + self.log.len() as u64),
            body,
        };
        self.append(record.encode().unwrap());
    }

    fn run(&mut self, op: &Op) {
        let fold = self.writer.fold();
        let service = fold.services.get(&"orders".into());
        let move_state = service.and_then(|s| s.last_move.as_ref());
        let plan = move_state.map_or_else(|| move_id("v2", 60_000), |s| s.id.clone());
        let share = move_state.map_or(0, |s| s.share);
        let base = |current: u64, fresh: bool| if fresh { current } else { current / 2 };
        match op {
            Op::Document { fresh, version } => {
                let revision = fold.tenants.get(&"a".into()).map_or(0, |t| t.revision);
                let version = version.map(|v| format!("v{v}"));
                let after = 60_000 + 1_000 * (self.log.len() as u64 % 600);
                let moves: Vec<_> = version.iter().map(|v| (v.as_str(), after)).collect();
                self.propose(Body::Config {
                    tenant: "a".into(),
                    base: base(revision, *fresh),
                    text: document(&moves),
                });
            }
            Op::Zone { fresh, out } => {
                let changed = fold.zones.get(&"z".into()).map_or(0, |z| z.changed);
                let base = base(changed, *fresh);
                let (zone, out) = ("z".into(), *out);
                self.propose(Body::Zone { zone, base, out });
            }
            Op::Step { fresh } => {
                let from = if *fresh { share } else { 500 };
                let next = move_state.and_then(state::MoveState::next_share);
                let to = next.unwrap_or(100);
                self.propose(Body::Step { plan, from, to });
            }
            Op::Verdict { done } => {
                let verdict = if *done {
                    Verdict::Done
                } else {
                    Verdict::Undone
                };
                let reason = "random".to_owned();
                self.propose(Body::Verdict {
                    plan,
                    verdict,
                    reason,
                });
            }
            Op::Stop => {
                let version = move_state.map_or_else(|| "v2".into(), |s| s.to.clone());
                self.propose(Body::Stop {
                    service: "orders".into(),
                    version,
                    plan,
                    reason: "random".to_owned(),
                });
            }
            Op::RepeatLast => self.append(self.log.last().cloned().unwrap_or_default()),
            Op::Truncated => {
                let last = self.log.last().cloned().unwrap_or_default();
                self.append(last.chars().take(last.len() / 2).collect());
            }
            Op::Foreign => self.append("{\"not\":\"ours\"}".to_owned()),
            Op::Snapshot { lost } => {
                let records = self
                    .writer
                    .snapshot(&OperatorName::new("i"), Wall(EPOCH_MS));
                let lost = lost.map(|n| usize::from(n) % records.len());
                for (_, record) in records.iter().enumerate().filter(|(n, _)| Some(*n) != lost) {
                    self.append(record.encode().unwrap());
                }
            }
            Op::Expire(count) => {
                let last = (self.log.len() as u64).max(1);
                self.first_offset = (self.first_offset + u64::from(*count)).min(last);
            }
            Op::Read { reader, count } => (0..*count).for_each(|_| self.read(*reader)),
            Op::ReadAgain { reader, back } => {
                let offset = self.readers[*reader]
                    .offset()
                    .saturating_sub(u64::from(*back));
                if offset >= self.first_offset {
                    let data = &self.log[usize::try_from(offset).unwrap() - 1];
                    self.readers[*reader].apply(offset, data);
                }
            }
            Op::Restart { reader } => self.readers[*reader] = State::default(),
            Op::Adopt { from, to } => {
                let records = self.readers[*from].snapshot(&OperatorName::new("i"), Wall(EPOCH_MS));
                self.readers[*to].adopt_snapshot(&records);
            }
        }
    }

    fn read(&mut self, reader: usize) {
        let state = &mut self.readers[reader];
        let offset = state.next_offset().max(self.first_offset);
        let Some(data) = self.log.get(usize::try_from(offset).unwrap() - 1) else {
            return;
        };
        let before = state.offset();
        state.apply(offset, data);
        assert!(state.offset() >= before, "the state went back");
    }

    fn check(&mut self) {
        for (n, state) in self.readers.iter().chain([&self.writer]).enumerate() {
            if self.checked[n] == state.offset() {
                continue;
            }
            self.checked[n] = state.offset();
            assert_eq!(
                json(state),
                self.history[&state.offset()],
                "at {}",
                state.offset()
            );
            for service in state.fold().services.values() {
                let Some(move_state) = &service.last_move else {
                    continue;
                };
                let Some(outcome) = &move_state.outcome else {
                    continue;
                };
                let known = self.outcomes.entry(move_state.id.clone());
                let known = known.or_insert_with(|| outcome.clone());
                assert_eq!(known, outcome, "{} ended in two ways", move_state.id);
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn apply_same_log_in_any_way(ops in prop::collection::vec(op(), STEPS)) {
        let mut world = World::new();
        for op in &ops {
            world.run(op);
            world.check();
        }
        // With a snapshot at the end of the log, every reader has to catch up.
        world.run(&Op::Snapshot { lost: None });
        for reader in 0..READERS {
            (0..3 * world.log.len()).for_each(|_| world.read(reader));
            prop_assert_eq!(world.readers[reader].fold(), world.writer.fold());
        }
    }
}

/// Runs four instances with one random disturbance a second for 40 s, and then 20 s without any.
fn run_fleet(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let faults = [
        Fault::None,
        Fault::None,
        Fault::Errors,
        Fault::Slow,
        Fault::ErrorsAfter(9_000),
    ];
    let mut fleet = Fleet::new(4, seed);
    fleet.rate = 200;
    fleet.fault = faults[rng.random_range(0..faults.len())];
    for node in &mut fleet.nodes {
        node.skew_ms = rng.random_range(-500..=500);
    }
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(1_000);
    fleet.publish_config("p-2", 1, &document(&[("v2", DEADLINE_MS)]));
    let mut outcomes = Vec::new();
    for second in 0..60 {
        if second < 40 {
            disturb(&mut fleet, &mut rng);
        } else {
            fleet.log_up = true;
            fleet.nodes.iter_mut().for_each(|n| n.paused = false);
        }
        for _ in 0..1_000 / TICK_MS {
            fleet.run_ms(TICK_MS);
            check_fleet(&fleet, seed, &mut outcomes);
        }
    }
    assert!(!outcomes.is_empty(), "seed {seed}: no outcome");
    for node in &fleet.nodes {
        let (_, move_state) = node
            .state
            .fold()
            .find_move(&move_id("v2", DEADLINE_MS))
            .unwrap();
        assert_eq!(
            move_state.outcome.as_ref(),
            outcomes.first(),
            "seed {seed}: {}",
            node.id
        );
    }
}

fn disturb(fleet: &mut Fleet, rng: &mut StdRng) {
    let n = rng.random_range(0..fleet.nodes.len());
    match rng.random_range(0..10) {
        0 => fleet.log_up = false,
        1 | 2 => fleet.log_up = true,
        3 => fleet.responses_lost ^= true,
        4 => fleet.nodes[n].paused = fleet.nodes.iter().filter(|n| n.runs()).count() > 2,
        5 | 6 => fleet.nodes[n].paused = false,
        7 => {
            let incarnation = fleet.nodes[n].entry.incarnation + 1;
            let entry = instance(n, incarnation);
            let listed = fleet.list.entries.iter_mut().find(|e| e.id == entry.id);
            *listed.unwrap() = entry.clone();
            fleet.list.version += 1;
            fleet.nodes[n] = Node::new(entry, fleet.now);
        }
        _ => {}
    }
}

fn check_fleet(fleet: &Fleet, seed: u64, outcomes: &mut Vec<Outcome>) {
    let at = fleet.now.0 / 1_000;
    let mut folds: BTreeMap<u64, &Node> = BTreeMap::new();
    for node in &fleet.nodes {
        let fold = node.state.fold();
        let twin = *folds.entry(fold.offset).or_insert(node);
        assert_eq!(twin.state.fold(), fold, "seed {seed}, {at} ms: {}", node.id);
        let Some((_, move_state)) = fold.find_move(&move_id("v2", DEADLINE_MS)) else {
            continue;
        };
        let late = node.wall(fleet.now).0 > move_state.deadline.0 + 500 + 2 * TICK_MS;
        let wrong = move_state.is_open() && late && node.runs() && node.share() > 0;
        assert!(
            !wrong,
            "seed {seed}, {at} ms: {} sends calls after the deadline",
            node.id
        );
        let Some(outcome) = &move_state.outcome else {
            continue;
        };
        if outcomes.is_empty() {
            outcomes.push(outcome.clone());
        }
        assert_eq!(outcomes[0], *outcome, "seed {seed}, {at} ms: {}", node.id);
        if outcome.verdict == Verdict::Done {
            assert!(outcome.at.0 + 2_000 <= move_state.deadline.0, "seed {seed}");
        }
    }
}

#[test]
fn fleet_has_one_outcome_for_each_move() {
    (0..24).for_each(run_fleet);
}
