//! Compares ways to choose targets, in virtual time: 16 dispatchers, 25 targets of 3 slots, 3
//! availability zones, open-loop Poisson arrivals, log-normal service. An arithmetic harness only.
//!
//! `cargo run --release -p policy --example choosers -- [--spread 1] [--sigma 0.5] [--seconds 30]
//! [--seed 1] [--only ours,ideal]`
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
#![allow(clippy::cast_sign_loss, reason = "figures of a measurement")]

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    fmt::Write,
    sync::Arc,
};

use hdrhistogram::Histogram;
use model::{Class, InstanceId, TargetId, Time, Zone};
use policy::{
    Action, AttemptEnd, AttemptReport, Call, CallId, Dispatcher, Event, ServiceView, Stats,
    TargetSelection, TargetState, TargetView,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal};

const INSTANCES: usize = 16;
const TARGETS: usize = 25;
const SLOTS: usize = 3;
/// Instances 0 to 2 are the homes, one in each zone.
const ZONES: usize = 3;
/// One way within a zone and between zones, in microseconds.
const NEAR_US: u64 = 50;
const FAR_US: u64 = 500;
const MEAN_US: f64 = 10_000.0;
/// Mean work of a call in units of [`MEAN_US`]: 10% bulk calls of 10 units.
const MIX: f64 = 0.9 + 0.1 * 10.0;
const WARM_UP_US: u64 = 3_000_000;
const TICK_US: u64 = 5_000;
const CALLERS: u64 = 20;
/// The noisy caller adds this load.
const NOISE: f64 = 0.5;
const NOISY: u64 = 999;
const NAMES: [&str; 3] = ["urgent", "confirm", "bulk"];

#[derive(Clone)]
struct Case {
    name: &'static str,
    chooser: &'static str,
    load: f64,
    slow: bool,
    noisy: bool,
    spread: bool,
    sigma: f64,
    seconds: u64,
    seed: u64,
}

enum Ev {
    Arrive(bool),
    Deliver(usize, Event),
    Tick(usize),
    Reach(u64),
    Done(u64),
    Abort(usize, u64),
}

struct Attempt {
    instance: usize,
    call: CallId,
    target: usize,
    sent: Time,
    work_us: u64,
}

struct World {
    case: Case,
    rng: StdRng,
    events: BTreeMap<(Time, u64), Ev>,
    seq: u64,
    dispatchers: Vec<Dispatcher>,
    /// Attempts that run and that wait at each target.
    running: Vec<Vec<u64>>,
    queues: Vec<VecDeque<u64>>,
    attempts: HashMap<u64, Attempt>,
    /// Class, caller and arrival of each call in the system.
    open: HashMap<CallId, (usize, u64, Time)>,
    /// Queue of the ideal chooser by latest start, and its slots in use on fast and slow targets.
    central: BTreeSet<(Time, CallId)>,
    busy: [usize; 2],
    latency: [Histogram<u64>; 3],
    offered: [u64; 3],
    within: [u64; 3],
    work_us: u64,
    over: u64,
}

fn class(name: &str, target_ms: u64, delay_ms: u64, idempotent: bool) -> Class {
    Class {
        name: name.into(),
        target_ms,
        delay_ms,
        idempotent,
        timeout_ms: (20 * target_ms).max(1_000),
    }
}

fn classes() -> [Class; 3] {
    [
        class(NAMES[0], 40, 15, true),
        class(NAMES[1], 60, 20, false),
        class(NAMES[2], 2_000, 1_500, true),
    ]
}

fn zone(i: usize) -> Zone {
    Zone::new(["a", "b", "c"][i % ZONES])
}

fn instance(i: usize) -> InstanceId {
    InstanceId::new(&format!("i-{i:02}"))
}

fn number_in(id: &str) -> usize {
    id[2..].parse().expect("ids end in numbers")
}

fn view(me: usize) -> Arc<ServiceView> {
    let target = |n: usize| TargetView {
        id: TargetId::new(&format!("t-{n:02}")),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: zone(n),
        region: "r1".into(),
        version: "v1".into(),
        slots: SLOTS as u32,
        state: TargetState::Usable,
        owner: instance(n % ZONES),
    };
    Arc::new(ServiceView {
        list_version: 1,
        name: "orders".into(),
        me: instance(me),
        zone: zone(me),
        classes: classes().into(),
        targets: (0..TARGETS).map(|n| Arc::new(target(n))).collect(),
        owners: (0..ZONES).map(instance).collect(),
        version: "v1".into(),
        active_move: None,
    })
}

fn path(i: usize, j: usize) -> u64 {
    if i % ZONES == j % ZONES {
        NEAR_US
    } else {
        FAR_US
    }
}

impl World {
    fn new(case: Case) -> Self {
        let pick = match case.chooser {
            "random" => TargetSelection::Random,
            "least" => TargetSelection::LeastInFlight,
            "two" => TargetSelection::TwoChoices,
            _ => TargetSelection::Owned,
        };
        let seed = |i: usize| case.seed * 100 + i as u64;
        let make = |i: usize| Dispatcher::with_selection(view(i), seed(i), pick);
        let histogram = |_| Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
        Self {
            rng: StdRng::seed_from_u64(case.seed),
            events: BTreeMap::new(),
            seq: 0,
            dispatchers: (0..INSTANCES).map(make).collect(),
            running: vec![Vec::new(); TARGETS],
            queues: vec![VecDeque::new(); TARGETS],
            attempts: HashMap::new(),
            open: HashMap::new(),
            central: BTreeSet::new(),
            busy: [0; 2],
            latency: std::array::from_fn(histogram),
            offered: [0; 3],
            within: [0; 3],
            work_us: 0,
            over: 0,
            case,
        }
    }

    fn push(&mut self, at: Time, ev: Ev) {
        self.seq += 1;
        self.events.insert((at, self.seq), ev);
    }

    fn run(&mut self) {
        self.push(Time(1), Ev::Arrive(false));
        if self.case.noisy {
            self.push(Time(1), Ev::Arrive(true));
        }
        for i in 0..INSTANCES {
            self.push(Time(i as u64 * 300 + 1), Ev::Tick(i));
        }
        let end = Time(WARM_UP_US + self.case.seconds * 1_000_000);
        while let Some(((now, _), ev)) = self.events.pop_first().filter(|e| e.0.0 <= end) {
            self.step(now, ev);
        }
        // Calls still in the system were neither served nor refused.
        for (class, caller, arrived) in self.open.values() {
            let counted = arrived.0 > WARM_UP_US && *caller != NOISY;
            self.offered[*class] -= u64::from(counted);
        }
    }

    fn step(&mut self, now: Time, ev: Ev) {
        match ev {
            Ev::Arrive(noisy) => self.arrive(now, noisy),
            Ev::Deliver(i, event) => self.handle(now, i, event),
            Ev::Tick(i) => {
                self.push(now.plus_us(TICK_US), Ev::Tick(i));
                self.handle(now, i, Event::Tick);
            }
            Ev::Reach(a) => {
                let Some(t) = self.attempts.get(&a).map(|a| a.target) else {
                    return;
                };
                self.over += u64::from(self.running[t].len() >= SLOTS);
                self.queues[t].push_back(a);
                self.serve(now, t);
            }
            Ev::Done(a) if self.case.chooser == "ideal" => self.done_central(now, a),
            Ev::Done(a) => self.done(now, a),
            Ev::Abort(t, a) => {
                self.running[t].retain(|r| *r != a);
                self.queues[t].retain(|r| *r != a);
                self.serve(now, t);
            }
        }
    }

    fn arrive(&mut self, now: Time, noisy: bool) {
        let load = if noisy { NOISE } else { self.case.load };
        let rate = load * (SLOTS * TARGETS) as f64 / (MEAN_US * MIX);
        let gap = Exp::new(rate).expect("positive rate").sample(&mut self.rng);
        self.push(now.plus_us(gap as u64), Ev::Arrive(noisy));
        let bulk = self.rng.random_bool(0.1);
        let class = if bulk { 2 } else { self.rng.random_range(0..2) };
        let quiet = self.rng.random_range(0..CALLERS);
        let caller = if noisy { NOISY } else { quiet };
        let id = CallId(self.seq);
        let spec = &classes()[class];
        self.open.insert(id, (class, caller, now));
        self.offered[class] += u64::from(now.0 > WARM_UP_US && !noisy);
        if self.case.chooser == "ideal" {
            self.central.insert((now.plus_ms(spec.delay_ms), id));
            self.start_central(now);
            return;
        }
        let reached = if self.case.spread { INSTANCES } else { ZONES };
        let at = self.rng.random_range(0..reached);
        let call = Call {
            id,
            class,
            caller,
            bytes: 1_000,
            arrived: now,
            deadline: now.plus_ms(spec.timeout_ms),
            replayable: true,
            retries: 1,
        };
        self.handle(now, at, Event::Arrive(call));
    }

    fn handle(&mut self, now: Time, i: usize, event: Event) {
        let mut out = Vec::new();
        self.dispatchers[i].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Start { call, target } => self.start(now, i, call, target.as_str()),
                Action::Refuse { call, .. } => drop(self.open.remove(&call)),
                Action::Send { to, msg } => {
                    let from = instance(i);
                    let to = number_in(to.as_str());
                    let event = Event::Peer { from, msg };
                    self.push(now.plus_us(path(i, to)), Ev::Deliver(to, event));
                }
                Action::GiveUp { .. } | Action::Draining { .. } => {}
            }
        }
    }

    fn start(&mut self, now: Time, i: usize, call: CallId, target: &str) {
        let t = number_in(target);
        let (key, _) = self.attempt(now, i, call, t, self.case.slow && t == 0);
        self.push(now.plus_us(path(i, t)), Ev::Reach(key));
    }

    fn attempt(
        &mut self,
        sent: Time,
        instance: usize,
        call: CallId,
        target: usize,
        slow: bool,
    ) -> (u64, u64) {
        // A hedge may start while the answer to the first attempt is on its way.
        let class = self.open.get(&call).map_or(0, |o| o.0);
        let work_us = self.sample(class, slow);
        self.seq += 1;
        let attempt = Attempt {
            instance,
            call,
            target,
            sent,
            work_us,
        };
        self.attempts.insert(self.seq, attempt);
        (self.seq, work_us)
    }

    fn sample(&mut self, class: usize, slow: bool) -> u64 {
        let sigma = self.case.sigma;
        let normal = LogNormal::new(MEAN_US.ln() - sigma * sigma / 2.0, sigma);
        let unit = normal.expect("valid sigma").sample(&mut self.rng);
        let bulk = if class == 2 { 10.0 } else { 1.0 };
        (unit * bulk * if slow { 5.0 } else { 1.0 }) as u64
    }

    fn serve(&mut self, now: Time, t: usize) {
        while self.running[t].len() < SLOTS {
            let Some(a) = self.queues[t].pop_front() else {
                return;
            };
            self.running[t].push(a);
            self.push(now.plus_us(self.attempts[&a].work_us), Ev::Done(a));
        }
    }

    fn done(&mut self, now: Time, a: u64) {
        // Without an entry, the attempt was cancelled and its abort is on the way.
        let Some(attempt) = self.attempts.remove(&a) else {
            return;
        };
        let (i, t, call) = (attempt.instance, attempt.target, attempt.call);
        self.running[t].retain(|r| *r != a);
        self.serve(now, t);
        let at = now.plus_us(path(i, t));
        self.record(at, call, attempt.work_us);
        self.report(at, &attempt, AttemptEnd::Good);
        let twin = self.attempts.iter().find(|(_, o)| o.call == call);
        let Some(key) = twin.map(|(key, _)| *key) else {
            return;
        };
        let twin = self.attempts.remove(&key).expect("was found");
        self.report(at, &twin, AttemptEnd::Cancelled);
        self.push(
            at.plus_us(path(i, twin.target)),
            Ev::Abort(twin.target, key),
        );
    }

    fn report(&mut self, at: Time, attempt: &Attempt, end: AttemptEnd) {
        let report = AttemptReport {
            end,
            service_us: at.since_us(attempt.sent),
            retryable: false,
            draining: false,
            cold: false,
        };
        let target = TargetId::new(&format!("t-{:02}", attempt.target));
        let call = attempt.call;
        let event = Event::Finish {
            call,
            target,
            report,
        };
        self.push(at, Ev::Deliver(attempt.instance, event));
    }

    /// The ideal: one queue by latest start without any delay, fast targets first.
    fn start_central(&mut self, now: Time) {
        while let Some(late) = self.central.first().copied().filter(|c| c.0 < now) {
            self.central.remove(&late);
            self.open.remove(&late.1);
        }
        let slow = if self.case.slow { SLOTS } else { 0 };
        let slots = [SLOTS * TARGETS - slow, slow];
        while let Some(lane) = (0..2).find(|l| self.busy[*l] < slots[*l]) {
            let Some((_, call)) = self.central.pop_first() else {
                return;
            };
            self.busy[lane] += 1;
            let (key, work_us) = self.attempt(now, 0, call, lane, lane == 1);
            self.push(now.plus_us(work_us), Ev::Done(key));
        }
    }

    fn done_central(&mut self, now: Time, a: u64) {
        let attempt = self.attempts.remove(&a).expect("runs");
        self.busy[attempt.target] -= 1;
        self.record(now, attempt.call, attempt.work_us);
        self.start_central(now);
    }

    fn record(&mut self, at: Time, call: CallId, work_us: u64) {
        self.work_us += if at.0 > WARM_UP_US { work_us } else { 0 };
        let Some((class, caller, arrived)) = self.open.remove(&call) else {
            return;
        };
        if arrived.0 <= WARM_UP_US || caller == NOISY {
            return;
        }
        let us = at.since_us(arrived);
        self.latency[class].saturating_record(us);
        self.within[class] += u64::from(us <= classes()[class].target_ms * 1_000);
    }
}

fn option<T: std::str::FromStr>(name: &str, default: T) -> T {
    let mut args = std::env::args().skip_while(|a| a != name);
    args.nth(1).and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn row(case: Case) -> String {
    let mut line = format!("{:<9} {:<6}", case.name, case.chooser);
    let seconds = case.seconds as f64;
    let mut world = World::new(case);
    world.run();
    for (class, latency) in world.latency.iter().enumerate() {
        let ms = |q| latency.value_at_quantile(q) as f64 / 1e3;
        let part = |of: u64| 100.0 * world.within[class] as f64 / of.max(1) as f64;
        let (p50, p99, p999) = (ms(0.5), ms(0.99), ms(0.999));
        let (served, all) = (part(latency.len()), part(world.offered[class]));
        let _ = write!(
            line,
            " | {p50:>6.1} {p99:>6.1} {p999:>6.1} {served:>6.2} {all:>6.2}"
        );
    }
    let stats: Vec<Stats> = world.dispatchers.iter().map(Dispatcher::stats).collect();
    assert!(stats.iter().all(|s| s.violations.is_empty()), "{stats:?}");
    let sum = |f: fn(&Stats) -> u64| stats.iter().map(f).sum::<u64>() as f64;
    // The ideal uses no dispatcher.
    let calls = Some(sum(|s| s.arrived))
        .filter(|c| *c > 0.0)
        .unwrap_or(f64::INFINITY);
    let work = 100.0 * world.work_us as f64 / ((SLOTS * TARGETS) as f64 * seconds * 1e6);
    let messages = sum(|s| s.messages) / calls;
    let rate = sum(|s| s.bytes) / (seconds + WARM_UP_US as f64 / 1e6) / INSTANCES as f64 / 1e3;
    let loans = 100.0 * sum(|s| s.loan_starts) / calls;
    let hedges = 100.0 * sum(|s| s.hedges) / calls;
    let _ = write!(
        line,
        " | {work:>5.1} {messages:>5.2} {rate:>6.1} {loans:>5.1}"
    );
    line + &format!(" {hedges:>4.1} {:>6}", world.over)
}

fn main() {
    let only: String = option("--only", String::new());
    let mut cases = Vec::new();
    for chooser in ["ours", "random", "least", "two", "ideal"] {
        let loads = [
            ("70%", 0.7, false, false),
            ("85%", 0.85, false, false),
            ("95%", 0.95, false, false),
            ("130%", 1.3, false, false),
            ("85% slow", 0.85, true, false),
            ("85% noisy", 0.85, false, true),
        ];
        let wanted = only.is_empty() || only.contains(chooser);
        cases.extend(loads.into_iter().filter(|_| wanted).map(|l| Case {
            name: l.0,
            chooser,
            load: l.1,
            slow: l.2,
            noisy: l.3,
            spread: option("--spread", 0) != 0,
            sigma: option("--sigma", 0.5),
            seconds: option("--seconds", 30),
            seed: option("--seed", 1),
        }));
    }
    println!("{:16}{}", "", NAMES.map(|n| format!(" | {n:<34}")).concat());
    let columns = " |    p50    p99  p99.9 served offered".repeat(3);
    println!("{:16}{columns} |  work msg/c KB/s/i loan%  hdg   over", "");
    // Few threads, because the machine is shared.
    for group in cases.chunks(3) {
        std::thread::scope(|scope| {
            let start = |case: &Case| {
                scope.spawn({
                    let case = case.clone();
                    move || row(case)
                })
            };
            let runs: Vec<_> = group.iter().map(start).collect();
            for run in runs {
                println!("{}", run.join().expect("the run ends"));
            }
        });
    }
}
