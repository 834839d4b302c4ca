//! Simulates several instances in virtual time. Each has its own state, membership, evidence and
//! driver; they share a log that can be unavailable, and an instance list. Equal seeds give equal
//! runs.
#![allow(dead_code, missing_docs)]

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    sync::Arc,
};

use model::{InstanceId, OperatorName, ServiceName, Time, Wall};
use policy::moves::{Assessment, Evidence, Side, SlowThresholds, VersionComparison, assess};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state::{
    Driver, DriverInput, Members, MembersView, MoveEvidence, Observation, State, ViewInput, Views,
    views,
};
use wire::{Body, EntryKind, EntryState, Fact, ListAnswer, ListEntry, Record};

/// Wall-clock time at the start of every run, 2026-12-04T00:00:00Z.
pub const EPOCH_MS: u64 = 1_796_342_400_000;
/// Virtual time between two steps of the simulation.
pub const TICK_MS: u64 = 50;
const ROUTES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const ZONES: [&str; 3] = ["sk-central-a", "sk-central-b", "sk-central-c"];

/// Faults of the new version or of both versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// During the first 3 s of every 10 s, both versions are slow and fail one call in five.
    BothVersions,
    /// Half of the calls on the new version fail.
    Errors,
    /// Calls on the new version take four times as long.
    Slow,
    /// The new version fails half of its calls from this time after the start of the move, in
    /// milliseconds.
    ErrorsAfter(u64),
    /// The new version is slow at shares from this one up, in basis points.
    SlowFromShare(u64),
    /// The new version fails this percentage of the calls on one of the eight routes.
    ErrorsOnRoute(u32),
}

/// Numbers of calls that a faulty version received during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// All calls since the move started, up to the last one on the new version.
    pub calls: u64,
    /// Calls on the new version since the first call that showed its fault.
    pub exposed_calls: u64,
    /// Those of `exposed_calls` that came more than 2 s after the first call that showed the fault.
    pub late_calls: u64,
    /// Time of the first call that showed the fault.
    pub fault_shown: Option<Time>,
    /// Time of the last call on the new version.
    pub last_exposed: Option<Time>,
    /// Calls on both versions from `fault_shown` to `last_exposed`.
    pub window_calls: u64,
    /// All calls since the move started.
    all_calls: u64,
    /// Calls before `fault_shown`.
    calls_before: u64,
}

/// Evidence of one instance about one move.
pub struct MoveTrial {
    evidence: Evidence,
    comparison: VersionComparison,
}

/// A simulated instance.
pub struct Node {
    pub id: InstanceId,
    pub entry: ListEntry,
    pub state: State,
    pub members: Members,
    pub view: Arc<MembersView>,
    pub facts: BTreeSet<Fact>,
    pub views: Views,
    /// Difference between this instance's wall clock and the true time.
    pub skew_ms: i64,
    pub paused: bool,
    pub dead: bool,
    driver: Driver,
    slow_thresholds: SlowThresholds,
    trials: BTreeMap<String, MoveTrial>,
    /// Log offset, number of facts, membership version and whether a deadline has passed, from which
    /// `views` was built.
    view_inputs: (u64, usize, u64, bool),
}

/// All simulated instances with their log, instance list and calls.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub log: Vec<String>,
    /// Smallest offset that the log still holds.
    pub first_offset: u64,
    pub log_up: bool,
    /// Appends take effect but their responses are lost, so every record is appended twice.
    pub responses_lost: bool,
    pub list: ListAnswer,
    pub fault: Fault,
    /// Calls per second over all instances.
    pub rate: u64,
    pub trace: Vec<String>,
    pub tally: Tally,
    /// Whether `trace` is written.
    pub verbose: bool,
    rng: StdRng,
    traced_offset: u64,
    traced_shares: String,
    move_started: Option<Time>,
}

pub fn instance(n: usize, incarnation: u64) -> ListEntry {
    ListEntry {
        id: format!("i-{n:02}"),
        kind: EntryKind::Entry,
        zone: ZONES[n % 3].into(),
        region: "sk-central".into(),
        addr: format!("10.0.0.{n}:80").parse().unwrap(),
        peer: Some(format!("10.0.0.{n}:81").parse().unwrap()),
        service: None,
        version: None,
        slots: None,
        state: EntryState::Live,
        incarnation,
    }
}

pub fn target(n: usize, version: &str) -> ListEntry {
    ListEntry {
        id: format!("t-{version}-{n}"),
        kind: EntryKind::Upstream,
        peer: None,
        addr: format!("10.1.0.{n}:80").parse().unwrap(),
        service: Some("orders".into()),
        version: Some(version.into()),
        slots: Some(3),
        ..instance(n, 1)
    }
}

/// Returns a document with the service `orders` and its moves, each with its deadline after the
/// start of the run.
pub fn document(moves: &[(&str, u64)]) -> String {
    let mut text = String::from(
        "[[service]]\nname = \"orders\"\nversion = \"v1\"\n\n[[service.class]]\n\
         name = \"confirmation\"\ntarget_ms = 60\ndelay_ms = 20\nidempotent = false\n",
    );
    for (version, after_ms) in moves {
        let at = after_ms / 1_000;
        let (h, m, s) = (at / 3_600, at / 60 % 60, at % 60);
        let _ = write!(
            text,
            "\n[[move]]\nservice = \"orders\"\nversion = \"{version}\"\n\
             deadline = 2026-12-04T{h:02}:{m:02}:{s:02}Z\n"
        );
    }
    text
}

/// Returns the id of a move of `orders` by its deadline after the start of the run.
pub fn move_id(version: &str, after_ms: u64) -> String {
    format!("orders/{version}/{}", EPOCH_MS + after_ms)
}

impl Fleet {
    /// Creates `size` running instances and six targets of each version.
    pub fn new(size: usize, seed: u64) -> Self {
        let mut entries: Vec<ListEntry> = (0..size).map(|n| instance(n, 1)).collect();
        for version in ["v1", "v2"] {
            entries.extend((0..6).map(|n| target(n, version)));
        }
        let list = ListAnswer {
            version: 1,
            entries,
        };
        let nodes = (0..size).map(|n| Node::new(instance(n, 1), Time(0)));
        Self {
            now: Time(0),
            nodes: nodes.collect(),
            log: Vec::new(),
            first_offset: 1,
            log_up: true,
            responses_lost: false,
            list,
            fault: Fault::None,
            rate: 2_000,
            trace: Vec::new(),
            tally: Tally::default(),
            verbose: true,
            rng: StdRng::seed_from_u64(seed),
            traced_offset: 0,
            traced_shares: String::new(),
            move_started: None,
        }
    }

    /// Adds a line with the current time to the trace.
    pub fn add_trace(&mut self, text: &str) {
        if self.verbose {
            let ms = self.now.0 / 1_000;
            let line = format!("{:>3}.{:03} {text}", ms / 1_000, ms % 1_000);
            self.trace.push(line);
        }
    }

    /// Appends a proposal of an operator.
    pub fn publish(&mut self, id: &str, body: Body) {
        let record = Record {
            id: id.to_owned(),
            author: OperatorName::new("ana"),
            at: Wall(EPOCH_MS + self.now.0 / 1_000),
            body,
        };
        self.log.push(record.encode().unwrap());
    }

    pub fn publish_config(&mut self, id: &str, base: u64, text: &str) {
        let body = Body::Config {
            tenant: "sacaria".into(),
            base,
            text: text.to_owned(),
        };
        self.publish(id, body);
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until no instance has an open move, but at most for `ms`.
    pub fn run_until_decided(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        let open = |n: &Node| n.state.fold().open_moves().next().is_some();
        while self.now < end {
            self.tick();
            if !self.nodes.iter().any(open) {
                return;
            }
        }
    }

    pub fn outcome(&self) -> Option<state::Outcome> {
        let service = self.nodes[0].state.fold().services.get(&"orders".into())?;
        service.last_move.as_ref()?.outcome.clone()
    }

    fn tick(&mut self) {
        self.now = self.now.plus_ms(TICK_MS);
        let ms = self.now.0 / 1_000;
        self.read_log();
        for n in 0..self.nodes.len() {
            self.nodes[n].poll_list(self.now, ms, n, &self.list);
        }
        self.exchange_heartbeats(ms);
        for node in &mut self.nodes {
            node.refresh_views(self.now);
        }
        self.serve_calls();
        for n in 0..self.nodes.len() {
            let phase = (n as u64 * TICK_MS) % 250;
            if ms % 250 == phase {
                self.exchange_evidence(n);
            }
            if ms % 100 == phase % 100 {
                self.tick_driver(n);
            }
        }
        self.trace_shares();
    }

    fn read_log(&mut self) {
        if !self.log_up {
            return;
        }
        for node in self.nodes.iter_mut().filter(|n| n.runs()) {
            while node.state.next_offset().max(self.first_offset) <= self.log.len() as u64 {
                let offset = node.state.next_offset().max(self.first_offset);
                let data = &self.log[usize::try_from(offset).unwrap() - 1];
                let applied = node.state.apply(offset, data);
                if !self.verbose || offset <= self.traced_offset || node.state.is_behind() {
                    continue;
                }
                self.traced_offset = offset;
                let ms = self.now.0 / 1_000;
                let what = node.state.audit().last().filter(|e| e.offset == offset);
                let what = what.map_or("record", |e| e.what.as_str());
                let detail = if applied.detail.is_empty() {
                    String::new()
                } else {
                    format!(" ({})", applied.detail)
                };
                let line = format!(
                    "{:>3}.{:03} log {offset}: {what}: {}{detail}",
                    ms / 1_000,
                    ms % 1_000,
                    applied.code
                );
                self.trace.push(line);
            }
        }
    }

    fn exchange_heartbeats(&mut self, ms: u64) {
        if !ms.is_multiple_of(1_000) {
            return;
        }
        let alive: Vec<(InstanceId, u64)> = self
            .nodes
            .iter()
            .filter(|n| n.runs())
            .map(|n| (n.id.clone(), n.entry.incarnation))
            .collect();
        for node in self.nodes.iter_mut().filter(|n| n.runs()) {
            for (instance, incarnation) in &alive {
                let heard = Observation::FrameReceived {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    leaving: false,
                };
                node.members.observe(self.now, &heard);
            }
        }
    }

    fn serve_calls(&mut self) {
        let plan = self.nodes.iter().find_map(|n| {
            let (_, move_state) = n.state.fold().open_moves().next()?;
            Some(move_state.id.clone())
        });
        if plan.is_some() {
            self.move_started.get_or_insert(self.now);
        }
        let started = self.move_started.unwrap_or(self.now);
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].runs())
            .collect();
        for _ in 0..self.rate * TICK_MS / 1_000 {
            let node = &mut self.nodes[nodes[self.rng.random_range(0..nodes.len())]];
            let route = self.rng.random_range(0..ROUTES.len());
            let share = node.share();
            let new = self.rng.random_range(0..10_000) < share;
            let mut us = latency_us(&mut self.rng, route);
            let mut error = self.rng.random_range(0..1_000) == 0;
            let (slower, failing) = match self.fault {
                Fault::BothVersions => {
                    let disturbed = self.now.since_us(started) % 10_000_000 < 3_000_000;
                    error |= disturbed && self.rng.random_ratio(1, 5);
                    us *= if disturbed { 4 } else { 1 };
                    (false, false)
                }
                _ if !new => (false, false),
                Fault::None => (false, false),
                Fault::Errors => (false, true),
                Fault::Slow => (true, false),
                Fault::ErrorsAfter(ms) => (false, self.now.since_us(started) >= ms * 1_000),
                Fault::SlowFromShare(least) => (share >= least, false),
                Fault::ErrorsOnRoute(_) => (false, route == 3),
            };
            // See `Fault` for these rates.
            if slower {
                us *= 4;
            }
            let percent = match self.fault {
                Fault::ErrorsOnRoute(percent) => percent,
                _ => 50,
            };
            let shows = slower || (failing && self.rng.random_ratio(percent, 100));
            error |= shows && failing;
            node.count(plan.as_deref(), new, ROUTES[route], error, us);
            if plan.is_some() {
                self.tally.add(self.now, new, shows);
            }
        }
    }

    fn exchange_evidence(&mut self, from: usize) {
        let node = &mut self.nodes[from];
        if !node.runs() {
            return;
        }
        let changes =
            |(plan, t): (&String, &mut MoveTrial)| (plan.clone(), t.evidence.take_changes());
        let sent: Vec<_> = node.trials.iter_mut().map(changes).collect();
        let (id, incarnation) = (node.id.clone(), node.entry.incarnation);
        for peer in self.nodes.iter_mut().filter(|n| n.id != id && n.runs()) {
            for (plan, routes) in &sent {
                if let Some(move_trial) = peer.move_trial(plan) {
                    move_trial.evidence.merge(&id, incarnation, routes);
                }
            }
        }
        self.nodes[from].assess_moves(self.now);
    }

    fn tick_driver(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if !node.runs() {
            return;
        }
        let evidence = node.evidence();
        let output = node.driver.tick(DriverInput {
            now: self.now,
            wall: node.wall(self.now),
            fold: node.state.fold(),
            members: &node.view,
            facts: &node.facts,
            evidence: &evidence,
        });
        let id = node.id.clone();
        for fact in output.facts {
            if let Fact::Stop { plan, reason, .. } = &fact {
                self.add_trace(&format!("{id} tells all: stop {plan}: {reason}"));
            }
            for node in self.nodes.iter_mut().filter(|n| n.runs()) {
                node.facts.insert(fact.clone());
            }
        }
        if output.records.is_empty() {
            return;
        }
        let lines = usize::from(self.log_up) + usize::from(self.log_up && self.responses_lost);
        let suffix = if lines == 0 { ", lost: log down" } else { "" };
        let ids: Vec<&str> = output.records.iter().map(|r| r.id.as_str()).collect();
        self.add_trace(&format!("{id} proposes {}{suffix}", ids.join(" and ")));
        for record in output.records {
            let line = record.encode().unwrap();
            self.log.extend(std::iter::repeat_n(line, lines));
        }
    }

    /// Traces the versions that the running instances send calls to, when these change.
    fn trace_shares(&mut self) {
        if !self.verbose {
            return;
        }
        let running = self.nodes.iter().filter(|n| n.runs());
        let shares: BTreeSet<String> = running.map(Node::versions).collect();
        let text = Vec::from_iter(shares).join(" or ");
        if text != self.traced_shares {
            self.add_trace(&format!("in force: {text}"));
            self.traced_shares = text;
        }
    }
}

impl Node {
    pub fn new(entry: ListEntry, now: Time) -> Self {
        let id = InstanceId::new(&entry.id);
        let mut members = Members::new(&entry, now);
        Self {
            view: members.view(now),
            driver: Driver::new(&id, now),
            members,
            id,
            entry,
            state: State::default(),
            facts: BTreeSet::new(),
            views: Views::default(),
            skew_ms: 0,
            paused: false,
            dead: false,
            slow_thresholds: SlowThresholds::default(),
            trials: BTreeMap::new(),
            view_inputs: (0, 0, 0, false),
        }
    }

    pub fn runs(&self) -> bool {
        !self.paused && !self.dead
    }

    pub fn wall(&self, now: Time) -> Wall {
        Wall((EPOCH_MS + now.0 / 1_000).saturating_add_signed(self.skew_ms))
    }

    /// Returns the share of calls that this instance sends to the new version, in basis points.
    pub fn share(&self) -> u64 {
        let Some(view) = self.views.services.get(&ServiceName::new("orders")) else {
            return 0;
        };
        let move_state = view.active_move.as_ref();
        move_state.map_or(0, |s| u64::from(s.share))
    }

    fn versions(&self) -> String {
        let Some(view) = self.views.services.get(&ServiceName::new("orders")) else {
            return "nothing".to_owned();
        };
        let share = view.active_move.as_ref();
        let share = share.map(|s| format!(", {} at {}%", s.to, s.share / 100));
        format!("{}{}", view.version, share.unwrap_or_default())
    }

    fn poll_list(&mut self, now: Time, ms: u64, n: usize, list: &ListAnswer) {
        if self.runs() && ms % 1_000 == (n as u64 * TICK_MS) % 1_000 {
            self.members.apply_list(now, list);
        }
    }

    fn refresh_views(&mut self, now: Time) {
        if !self.runs() {
            return;
        }
        if now.0.is_multiple_of(100_000) {
            self.view = self.members.view(now);
        }
        let wall = self.wall(now);
        let fold = self.state.fold();
        let late = fold
            .open_moves()
            .any(|(_, m)| wall > m.deadline.plus_ms(500));
        let view_inputs = (
            self.state.offset(),
            self.facts.len(),
            self.view.version,
            late,
        );
        if view_inputs != self.view_inputs {
            self.view_inputs = view_inputs;
            self.views = views(ViewInput {
                fold,
                members: &self.view,
                me: &self.id,
                zone: &self.entry.zone,
                region: &self.entry.region,
                facts: &self.facts,
                wall,
            });
        }
    }

    fn move_trial(&mut self, plan: &str) -> Option<&mut MoveTrial> {
        if !self.trials.contains_key(plan) {
            let (_, move_state) = self.state.fold().find_move(plan)?;
            let incarnation = self.entry.incarnation;
            let evidence = Evidence::new(&move_state.from, &move_state.to, &self.id, incarnation);
            let comparison = VersionComparison::default();
            self.trials.insert(
                plan.to_owned(),
                MoveTrial {
                    evidence,
                    comparison,
                },
            );
        }
        self.trials.get_mut(plan)
    }

    fn count(&mut self, plan: Option<&str>, new: bool, route: &str, error: bool, us: u64) {
        let side = if new { Side::New } else { Side::Old };
        let slow = !error && self.slow_thresholds.record(side, route, us);
        if let Some(move_trial) = plan.and_then(|p| self.move_trial(p)) {
            move_trial.evidence.count(side, route, error, slow);
        }
    }

    fn assess_moves(&mut self, now: Time) {
        for (plan, move_trial) in &mut self.trials {
            if let Some((_, move_state)) = self.state.fold().find_move(plan) {
                assess(
                    &mut move_trial.comparison,
                    &move_trial.evidence,
                    move_state.share,
                    now,
                );
            }
        }
    }

    fn evidence(&self) -> BTreeMap<String, MoveEvidence> {
        let of = |t: &MoveTrial| MoveEvidence {
            assessment: t.comparison.assessment().clone(),
            defer_step: t.comparison.defers_step(),
            calls: t.evidence.calls(Side::New),
        };
        let all = self.trials.iter();
        all.map(|(plan, t)| (plan.clone(), of(t))).collect()
    }

    pub fn found_bad(&self) -> bool {
        let mut all = self.trials.values();
        all.any(|t| matches!(t.comparison.assessment(), Assessment::Bad { .. }))
    }
}

impl Tally {
    fn add(&mut self, now: Time, new: bool, shows: bool) {
        self.all_calls += 1;
        if shows && self.fault_shown.is_none() {
            self.fault_shown = Some(now);
            self.calls_before = self.all_calls - 1;
        }
        if !new {
            return;
        }
        self.calls = self.all_calls;
        self.last_exposed = Some(now);
        let Some(first) = self.fault_shown else {
            return;
        };
        self.exposed_calls += 1;
        self.window_calls = self.all_calls - self.calls_before;
        self.late_calls += u64::from(now.since_us(first) > 2_000_000);
    }
}

/// Returns a latency that is distributed log-normally around 20 ms, and longer on later routes.
fn latency_us(rng: &mut StdRng, route: usize) -> u64 {
    let normal: f64 = (0..6).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>() * 1.414;
    let base = 20_000.0 + 2_000.0 * f64::from(u32::try_from(route).unwrap());
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let us = (base * (0.4 * normal).exp()) as u64;
    us
}
