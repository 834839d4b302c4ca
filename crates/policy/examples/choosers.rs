//! Compares algorithms of target selection by a simulation in virtual time: 16 dispatchers, 25
//! targets of 3 slots, 3 availability zones, Poisson arrivals that do not wait for responses, and
//! log-normal service times. It runs no network or upstream code.
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
/// Number of zones. Instances 0 to 2 own the targets, one in each zone.
const ZONES: usize = 3;
/// One-way network delay within a zone in microseconds.
const NEAR_US: u64 = 50;
/// One-way network delay between zones in microseconds.
const FAR_US: u64 = 500;
/// Mean service time of urgent and confirm calls in microseconds.
const MEAN_US: f64 = 10_000.0;
/// Mean service time of a call in units of [`MEAN_US`]: 10% are bulk calls of 10 units.
const MEAN_WORK: f64 = 0.9 + 0.1 * 10.0;
const WARM_UP_US: u64 = 3_000_000;
const TICK_US: u64 = 5_000;
const CALLERS: u64 = 20;
/// Load that the noisy caller adds, as a fraction of all slots.
const NOISY_LOAD: f64 = 0.5;
const NOISY_CALLER: u64 = 999;
const CLASS_NAMES: [&str; 3] = ["urgent", "confirm", "bulk"];

#[derive(Clone)]
struct Scenario {
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

enum SimEvent {
    Arrive(bool),
    Deliver(usize, Event),
    Tick(usize),
    ReachTarget(u64),
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

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    events: BTreeMap<(Time, u64), SimEvent>,
    seq: u64,
    dispatchers: Vec<Dispatcher>,
    /// Attempts that run at each target, and those that wait there.
    running: Vec<Vec<u64>>,
    queues: Vec<VecDeque<u64>>,
    attempts: HashMap<u64, Attempt>,
    /// Class, caller and arrival of each call that has not ended.
    open: HashMap<CallId, (usize, u64, Time)>,
    /// Queue of the ideal selection, ordered by latest start. `central_running` counts its calls in
    /// progress on fast and on slow targets.
    central_queue: BTreeSet<(Time, CallId)>,
    central_running: [usize; 2],
    latency: [Histogram<u64>; 3],
    offered: [u64; 3],
    within_target: [u64; 3],
    work_us: u64,
    over_limit: u64,
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
        class(CLASS_NAMES[0], 40, 15, true),
        class(CLASS_NAMES[1], 60, 20, false),
        class(CLASS_NAMES[2], 2_000, 1_500, true),
    ]
}

fn zone(i: usize) -> Zone {
    Zone::new(["a", "b", "c"][i % ZONES])
}

fn instance(i: usize) -> InstanceId {
    InstanceId::new(&format!("i-{i:02}"))
}

fn id_number(id: &str) -> usize {
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

fn network_us(i: usize, j: usize) -> u64 {
    if i % ZONES == j % ZONES {
        NEAR_US
    } else {
        FAR_US
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let selection = match scenario.chooser {
            "random" => TargetSelection::Random,
            "least" => TargetSelection::LeastInFlight,
            "two" => TargetSelection::TwoChoices,
            _ => TargetSelection::Owned,
        };
        let seed = |i: usize| scenario.seed * 100 + i as u64;
        let make = |i: usize| Dispatcher::with_selection(view(i), seed(i), selection);
        let histogram = |_| Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
        Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            events: BTreeMap::new(),
            seq: 0,
            dispatchers: (0..INSTANCES).map(make).collect(),
            running: vec![Vec::new(); TARGETS],
            queues: vec![VecDeque::new(); TARGETS],
            attempts: HashMap::new(),
            open: HashMap::new(),
            central_queue: BTreeSet::new(),
            central_running: [0; 2],
            latency: std::array::from_fn(histogram),
            offered: [0; 3],
            within_target: [0; 3],
            work_us: 0,
            over_limit: 0,
            scenario,
        }
    }

    fn push(&mut self, at: Time, ev: SimEvent) {
        self.seq += 1;
        self.events.insert((at, self.seq), ev);
    }

    fn run(&mut self) {
        self.push(Time(1), SimEvent::Arrive(false));
        if self.scenario.noisy {
            self.push(Time(1), SimEvent::Arrive(true));
        }
        for i in 0..INSTANCES {
            self.push(Time(i as u64 * 300 + 1), SimEvent::Tick(i));
        }
        let end = Time(WARM_UP_US + self.scenario.seconds * 1_000_000);
        while let Some(((now, _), ev)) = self.events.pop_first().filter(|e| e.0.0 <= end) {
            self.step(now, ev);
        }
        // Calls that have not ended were neither served nor refused, and are not counted.
        for (class, caller, arrived) in self.open.values() {
            let counted = arrived.0 > WARM_UP_US && *caller != NOISY_CALLER;
            self.offered[*class] -= u64::from(counted);
        }
    }

    fn step(&mut self, now: Time, ev: SimEvent) {
        match ev {
            SimEvent::Arrive(noisy) => self.arrive(now, noisy),
            SimEvent::Deliver(i, event) => self.handle(now, i, event),
            SimEvent::Tick(i) => {
                self.push(now.plus_us(TICK_US), SimEvent::Tick(i));
                self.handle(now, i, Event::Tick);
            }
            SimEvent::ReachTarget(a) => {
                let Some(t) = self.attempts.get(&a).map(|a| a.target) else {
                    return;
                };
                self.over_limit += u64::from(self.running[t].len() >= SLOTS);
                self.queues[t].push_back(a);
                self.serve(now, t);
            }
            SimEvent::Done(a) if self.scenario.chooser == "ideal" => self.done_central(now, a),
            SimEvent::Done(a) => self.done(now, a),
            SimEvent::Abort(t, a) => {
                self.running[t].retain(|r| *r != a);
                self.queues[t].retain(|r| *r != a);
                self.serve(now, t);
            }
        }
    }

    fn arrive(&mut self, now: Time, noisy: bool) {
        let load = if noisy {
            NOISY_LOAD
        } else {
            self.scenario.load
        };
        let rate = load * (SLOTS * TARGETS) as f64 / (MEAN_US * MEAN_WORK);
        let gap = Exp::new(rate).expect("positive rate").sample(&mut self.rng);
        self.push(now.plus_us(gap as u64), SimEvent::Arrive(noisy));
        let bulk = self.rng.random_bool(0.1);
        let class = if bulk { 2 } else { self.rng.random_range(0..2) };
        let quiet = self.rng.random_range(0..CALLERS);
        let caller = if noisy { NOISY_CALLER } else { quiet };
        let id = CallId(self.seq);
        let spec = &classes()[class];
        self.open.insert(id, (class, caller, now));
        self.offered[class] += u64::from(now.0 > WARM_UP_US && !noisy);
        if self.scenario.chooser == "ideal" {
            self.central_queue.insert((now.plus_ms(spec.delay_ms), id));
            self.start_central(now);
            return;
        }
        let reached = if self.scenario.spread {
            INSTANCES
        } else {
            ZONES
        };
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
                    let to = id_number(to.as_str());
                    let event = Event::Peer { from, msg };
                    self.push(now.plus_us(network_us(i, to)), SimEvent::Deliver(to, event));
                }
                Action::GiveUp { .. } | Action::Draining { .. } => {}
            }
        }
    }

    fn start(&mut self, now: Time, i: usize, call: CallId, target: &str) {
        let t = id_number(target);
        let (key, _) = self.attempt(now, i, call, t, self.scenario.slow && t == 0);
        self.push(now.plus_us(network_us(i, t)), SimEvent::ReachTarget(key));
    }

    fn attempt(
        &mut self,
        sent: Time,
        instance: usize,
        call: CallId,
        target: usize,
        slow: bool,
    ) -> (u64, u64) {
        // The call may have ended: a hedge may start while the first response is on its way.
        let class = self.open.get(&call).map_or(0, |o| o.0);
        let work_us = self.sample_work(class, slow);
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

    fn sample_work(&mut self, class: usize, slow: bool) -> u64 {
        let sigma = self.scenario.sigma;
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
            self.push(now.plus_us(self.attempts[&a].work_us), SimEvent::Done(a));
        }
    }

    fn done(&mut self, now: Time, a: u64) {
        // Without an entry the attempt was cancelled, and its abort has not reached the target yet.
        let Some(attempt) = self.attempts.remove(&a) else {
            return;
        };
        let (i, t, call) = (attempt.instance, attempt.target, attempt.call);
        self.running[t].retain(|r| *r != a);
        self.serve(now, t);
        let at = now.plus_us(network_us(i, t));
        self.record(at, call, attempt.work_us);
        self.report(at, &attempt, AttemptEnd::Good);
        let other = self.attempts.iter().find(|(_, a)| a.call == call);
        let Some(key) = other.map(|(key, _)| *key) else {
            return;
        };
        let other = self.attempts.remove(&key).expect("was found");
        self.report(at, &other, AttemptEnd::Cancelled);
        self.push(
            at.plus_us(network_us(i, other.target)),
            SimEvent::Abort(other.target, key),
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
        self.push(at, SimEvent::Deliver(attempt.instance, event));
    }

    /// Starts calls as the ideal selection does: from one queue ordered by latest start, without
    /// any network delay, on fast targets first.
    fn start_central(&mut self, now: Time) {
        while let Some(late) = self.central_queue.first().copied().filter(|c| c.0 < now) {
            self.central_queue.remove(&late);
            self.open.remove(&late.1);
        }
        let slow = if self.scenario.slow { SLOTS } else { 0 };
        let slots = [SLOTS * TARGETS - slow, slow];
        while let Some(lane) = (0..2).find(|l| self.central_running[*l] < slots[*l]) {
            let Some((_, call)) = self.central_queue.pop_first() else {
                return;
            };
            self.central_running[lane] += 1;
            let (key, work_us) = self.attempt(now, 0, call, lane, lane == 1);
            self.push(now.plus_us(work_us), SimEvent::Done(key));
        }
    }

    fn done_central(&mut self, now: Time, a: u64) {
        let attempt = self.attempts.remove(&a).expect("runs");
        self.central_running[attempt.target] -= 1;
        self.record(now, attempt.call, attempt.work_us);
        self.start_central(now);
    }

    fn record(&mut self, at: Time, call: CallId, work_us: u64) {
        self.work_us += if at.0 > WARM_UP_US { work_us } else { 0 };
        let Some((class, caller, arrived)) = self.open.remove(&call) else {
            return;
        };
        if arrived.0 <= WARM_UP_US || caller == NOISY_CALLER {
            return;
        }
        let us = at.since_us(arrived);
        self.latency[class].saturating_record(us);
        self.within_target[class] += u64::from(us <= classes()[class].target_ms * 1_000);
    }
}

fn option<T: std::str::FromStr>(name: &str, default: T) -> T {
    let mut args = std::env::args().skip_while(|a| a != name);
    args.nth(1).and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn row(scenario: Scenario) -> String {
    let mut line = format!("{:<9} {:<6}", scenario.name, scenario.chooser);
    let seconds = scenario.seconds as f64;
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    for (class, latency) in simulation.latency.iter().enumerate() {
        let ms = |q| latency.value_at_quantile(q) as f64 / 1e3;
        let percent = |of: u64| 100.0 * simulation.within_target[class] as f64 / of.max(1) as f64;
        let (p50, p99, p999) = (ms(0.5), ms(0.99), ms(0.999));
        let (served, all) = (percent(latency.len()), percent(simulation.offered[class]));
        let _ = write!(
            line,
            " | {p50:>6.1} {p99:>6.1} {p999:>6.1} {served:>6.2} {all:>6.2}"
        );
    }
    let stats: Vec<Stats> = simulation
        .dispatchers
        .iter()
        .map(Dispatcher::stats)
        .collect();
    assert!(stats.iter().all(|s| s.violations.is_empty()), "{stats:?}");
    let sum = |f: fn(&Stats) -> u64| stats.iter().map(f).sum::<u64>() as f64;
    // The ideal selection uses no dispatcher, so its figures for each call are 0.
    let calls = Some(sum(|s| s.arrived))
        .filter(|c| *c > 0.0)
        .unwrap_or(f64::INFINITY);
    let work = 100.0 * simulation.work_us as f64 / ((SLOTS * TARGETS) as f64 * seconds * 1e6);
    let messages = sum(|s| s.messages) / calls;
    let rate = sum(|s| s.bytes) / (seconds + WARM_UP_US as f64 / 1e6) / INSTANCES as f64 / 1e3;
    let loans = 100.0 * sum(|s| s.loan_starts) / calls;
    let hedges = 100.0 * sum(|s| s.hedges) / calls;
    let _ = write!(
        line,
        " | {work:>5.1} {messages:>5.2} {rate:>6.1} {loans:>5.1}"
    );
    line + &format!(" {hedges:>4.1} {:>6}", simulation.over_limit)
}

fn main() {
    let only: String = option("--only", String::new());
    let mut scenarios = Vec::new();
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
        scenarios.extend(loads.into_iter().filter(|_| wanted).map(|l| Scenario {
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
    println!(
        "{:16}{}",
        "",
        CLASS_NAMES.map(|n| format!(" | {n:<34}")).concat()
    );
    let columns = " |    p50    p99  p99.9 served offered".repeat(3);
    println!("{:16}{columns} |  work msg/c KB/s/i loan%  hdg   over", "");
    // At most three threads at a time, because the machine may be shared.
    for group in scenarios.chunks(3) {
        std::thread::scope(|scope| {
            let start = |scenario: &Scenario| {
                scope.spawn({
                    let scenario = scenario.clone();
                    move || row(scenario)
                })
            };
            let runs: Vec<_> = group.iter().map(start).collect();
            for run in runs {
                println!("{}", run.join().expect("the run ends"));
            }
        });
    }
}
