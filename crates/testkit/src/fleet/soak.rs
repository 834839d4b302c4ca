//! A randomised soak test: gateway processes serve load while faults of the store, targets,
//! connections, instances and zones come and go, also overlapping, keys of workspaces change, instances are
//! cut off from targets and stopped in series, some clients keep their connections until they end, and
//! some read slowly or stop sending. It checks the results that callers and targets see.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_std::{net::TcpStream, task};
use futures::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{
    FleetResult, FleetRig, ProxyMode, RigSpec, StoreCopy, StoreFault, TargetFault,
    client::send_keeping,
    crowd::Crowd,
    odd_caller::OddCaller,
    partition::Partition,
    send,
    soak_call::Call,
    soak_crowds::{Replacement, Visit, Visits},
    soak_keys::KeyHistory,
    soak_series::{Series, Step},
    target::LARGE,
};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(6);
/// Time after a disturbance of the store or an instance from which the platform requires that changes
/// are in effect in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which the first list of keys must be in effect.
const FIRST_KEYS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between two changes of keys, and between two groups of odd callers, in milliseconds.
const MAX_CHANGE_GAP_MS: u64 = 900;
/// Largest number of odd callers that start at a time.
const MAX_ODD_CALLERS: usize = 4;
/// Length of the bodies of odd callers.
const ODD_BODY_BYTES: usize = 200_000;
/// Settings of the runs with even seeds. The bounds are high, so that hedges are sent under faults.
const HEDGING: &str = "[hedging]\nshare = 0.4\nmax_load = 1.0\n";
/// Added to the seed for keys and odd callers, so that faults have random numbers of their own.
const CALLER_SEED: u64 = 0x6b65_7973;
/// Added to the seed for series of disturbances.
const SERIES_SEED: u64 = 0x7365_7269;
/// Added to the seed for the choice of kept connections.
const KEPT_SEED: u64 = 0x6b65_7074;
/// Added to the seed for crowds, reloads and replacements of instances.
const VISIT_SEED: u64 = 0x7669_7369;
/// Most instances that can be cut off from targets. Each takes a listener for each target.
const MAX_PARTITIONS: usize = 8;
/// Share of the requests that are sent on connections which clients keep until they end.
const KEPT_SHARE: f64 = 0.4;
/// Time after which an instance that a series has stopped is started again. By then it has ended.
const STOP_TIME: Duration = Duration::from_secs(7);
/// Longest time between the starts of two faults, in milliseconds.
const MAX_FAULT_GAP_MS: u64 = 900;
/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;
/// Factor for faults of the store. They must last longer than the 2.5 s after which an instance that
/// lacks a new key no longer refuses it with 401.
const STORE_FAULT_FACTOR: u64 = 2;
/// Time that the system has to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Number of requests that are sent after the recovery.
const FINAL_REQUESTS: usize = 150;
/// Percentage of the requests after the recovery that must be served. The platform requires only a
/// quarter of what was served before. Once all faults have ended, nearly all must be served.
const MIN_SERVED_PERCENT: usize = 97;
/// Number of copies of the store that are kept; one of them is restored.
const MAX_COPIES: usize = 6;
/// Limit that a target states after the recovery, in requests a second.
const FINAL_LIMIT: f64 = 2.0;
/// Time for which requests are sent while a target states the limit.
const LIMIT_TIME: Duration = Duration::from_secs(9);
/// Time after which the limit must be kept to.
const LIMIT_START: Duration = Duration::from_secs(3);
const ZONES: [&str; 3] = ["a", "b", "c"];
const TARGET_FAULTS: [TargetFault; 12] = [
    TargetFault::Shed,
    TargetFault::Error,
    TargetFault::LoseAnswer,
    TargetFault::Truncate,
    TargetFault::Extra,
    TargetFault::Garbage,
    TargetFault::StrayFirst,
    TargetFault::NoLength,
    TargetFault::Mute,
    TargetFault::RepeatRefusal { has_id: true },
    TargetFault::RepeatRefusal { has_id: false },
    TargetFault::CutHead(60),
];
const PROXY_MODES: [ProxyMode; 4] = [
    ProxyMode::Delay,
    ProxyMode::Reset,
    ProxyMode::Silent,
    ProxyMode::OneWay,
];
const STORE_FAULTS: [StoreFault; 4] = [
    StoreFault::Silent,
    StoreFault::Refuse(503),
    StoreFault::Refuse(429),
    StoreFault::LoseAnswers,
];

/// Size of a deployment for short runs.
pub const SMALL_SOAK: RigSpec = RigSpec {
    instances: 5,
    targets: 8,
    processing_ms: 25,
};

type KeptConnection = Arc<Mutex<Option<TcpStream>>>;

/// A fault in progress, with the index or name of what it affects.
enum ActiveFault {
    Store,
    Target(usize),
    Proxy(usize),
    PausedInstance(usize),
    StoppedInstance(usize),
    Zone(&'static str),
    LimitedTarget(usize),
    LeavingTarget(usize),
    ClosedTarget(usize),
}

/// Results of a soak test.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were refused because of their key.
    pub refused_keys: usize,
    /// Number of clients that read slowly or stopped sending.
    pub odd_callers: usize,
    /// Number of times that an instance was cut off from targets.
    pub cuts: usize,
    /// Number of crowds of callers.
    pub crowds: usize,
    /// Number of instances that were replaced by the current build.
    pub replaced: usize,
    /// Injected faults in order, each with its start and its duration in milliseconds.
    pub faults: Vec<String>,
    /// Checks that failed, one description each.
    pub violations: Vec<String>,
}

/// Programs of the instances.
#[derive(Clone, Copy, Debug)]
pub struct SoakBuilds<'a> {
    /// The program under test.
    pub current: &'a Path,
    /// Program of an earlier release with which all instances start. Each start after that is of the current one,
    /// and half of the instances are replaced one after the other.
    pub earlier: Option<&'a Path>,
}

/// Runs a soak test with faults for `duration`, then checks that the system recovers. All random
/// choices come from `seed`.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started.
pub async fn soak(
    builds: SoakBuilds<'_>,
    spec: RigSpec,
    seed: u64,
    duration: Duration,
) -> io::Result<SoakReport> {
    let settings = if seed.is_multiple_of(2) { HEDGING } else { "" };
    let start = Instant::now();
    // The others ask the first ones for what they have read, as usual.
    let count = spec.instances.div_ceil(2).min(MAX_PARTITIONS);
    let (rig, partitions) = FleetRig::start_partly_partitioned(
        builds.earlier.unwrap_or(builds.current),
        spec,
        count,
        settings,
    )
    .await?;
    let visit_rng = StdRng::seed_from_u64(seed ^ VISIT_SEED);
    let mut soak = Soak {
        rig,
        partitions,
        crowds: Vec::new(),
        replacement: builds
            .earlier
            .map(|_| Replacement::new(visit_rng.clone(), spec.instances, duration)),
        visits: Visits::new(visit_rng),
        series: Series::new(StdRng::seed_from_u64(seed ^ SERIES_SEED)),
        kept_rng: StdRng::seed_from_u64(seed ^ KEPT_SEED),
        kept: (0..spec.instances).map(|_| Arc::default()).collect(),
        rng: StdRng::seed_from_u64(seed),
        caller_rng: StdRng::seed_from_u64(seed ^ CALLER_SEED),
        keys: KeyHistory::new(seed ^ CALLER_SEED),
        disturbed_at: vec![start; spec.instances],
        next_change: start,
        next_odd: start,
        active_faults: Vec::new(),
        copies: Vec::new(),
        routes: Vec::new(),
        report: SoakReport::default(),
        start,
    };
    for instance in &mut soak.rig.instances {
        instance.set_binary(builds.current);
    }
    soak.start_keys().await?;
    soak.start = Instant::now();
    soak.run_faults(duration).await;
    soak.check_recovery().await;
    Ok(soak.report)
}

struct Soak {
    rig: FleetRig,
    /// Paths of the first instances to all targets.
    partitions: Vec<Partition>,
    series: Series,
    visits: Visits,
    /// Crowds that are there, each with the time at which it goes.
    crowds: Vec<(Instant, Crowd)>,
    /// Replacement of an earlier build, if the instances started with one.
    replacement: Option<Replacement>,
    /// Random numbers of the choice of kept connections.
    kept_rng: StdRng,
    /// Connection that clients keep to each instance while no request uses it.
    kept: Vec<KeptConnection>,
    rng: StdRng,
    /// Random numbers of the choice of odd callers.
    caller_rng: StdRng,
    keys: KeyHistory,
    /// For each instance, when it or the store was last disturbed.
    disturbed_at: Vec<Instant>,
    /// Time of the next change of keys.
    next_change: Instant,
    /// Time at which the next odd callers start.
    next_odd: Instant,
    /// Faults in progress, each with the time at which it ends.
    active_faults: Vec<(Instant, ActiveFault)>,
    /// Copies of the store, oldest first.
    copies: Vec<StoreCopy>,
    /// Routes that the operator has added.
    routes: Vec<serde_json::Value>,
    report: SoakReport,
    start: Instant,
}

impl Soak {
    /// Sends requests and injects faults for `duration`, then ends all faults and checks the
    /// results.
    async fn run_faults(&mut self, duration: Duration) {
        let mut sent = Vec::new();
        let mut next_fault = self.start;
        while self.start.elapsed() < duration {
            if Instant::now() >= next_fault {
                self.begin_fault();
                let gap = self.rng.random_range(50..MAX_FAULT_GAP_MS);
                next_fault = Instant::now() + Duration::from_millis(gap);
            }
            self.end_faults(Instant::now());
            self.run_series();
            self.run_visits().await;
            self.replace_due();
            self.send_next(&mut sent);
            task::sleep(REQUEST_INTERVAL).await;
        }
        for (_, crowd) in std::mem::take(&mut self.crowds) {
            crowd.end().await;
        }
        // Ends all faults, including those whose duration has not passed.
        let longest = Duration::from_millis(STORE_FAULT_FACTOR * MAX_FAULT_MS);
        self.end_faults(Instant::now() + longest.max(STOP_TIME));
        for call in join_all(sent).await {
            self.check_call(&call);
        }
    }

    /// Publishes the first list of keys and waits until all instances check keys.
    async fn start_keys(&mut self) -> io::Result<()> {
        self.publish();
        let start = Instant::now();
        for instance in &self.rig.instances {
            while send(instance.caller_addr(), &self.rig.request(false))
                .await
                .status()
                != 401
            {
                if start.elapsed() > FIRST_KEYS_TIMEOUT {
                    let description = format!("{} does not check keys", instance.ip);
                    return Err(io::Error::other(description));
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn publish(&self) {
        self.rig.publish_tenants(&self.routes, &self.keys.tenants());
    }

    /// Takes the steps of series of disturbances that are due.
    fn run_series(&mut self) {
        for step in self.series.due(self.rig.instances.len(), &self.partitions) {
            let at_ms = self.start.elapsed().as_millis();
            self.report.faults.push(format!("{at_ms} {step:?}"));
            match step {
                Step::Cut {
                    index,
                    count,
                    kind,
                    length,
                } => {
                    self.report.cuts += 1;
                    self.partitions[index].cut_some(kind, length, count);
                }
                Step::Stop { index, signal } => {
                    self.signal(index, signal);
                    let until = Instant::now() + STOP_TIME;
                    let fault = ActiveFault::StoppedInstance(index);
                    self.active_faults.push((until, fault));
                }
            }
        }
    }

    /// Starts the crowd or the reload that is due, and ends crowds whose time is over.
    async fn run_visits(&mut self) {
        let now = Instant::now();
        let (ended, staying): (Vec<_>, Vec<_>) = std::mem::take(&mut self.crowds)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.crowds = staying;
        for (_, crowd) in ended {
            crowd.end().await;
        }
        let Some(visit) = self.visits.due(self.rig.instances.len()) else {
            return;
        };
        let at_ms = self.start.elapsed().as_millis();
        self.report.faults.push(format!("{at_ms} {visit:?}"));
        match visit {
            Visit::Crowd {
                index,
                callers,
                length,
            } => {
                self.report.crowds += 1;
                let crowd = Crowd::start(self.rig.instances[index].caller_addr(), callers);
                self.crowds.push((now + length, crowd));
            }
            Visit::Reload { index } => self.signal(index, "HUP"),
        }
    }

    /// Kills the instance that is to be replaced now, and starts the current build in its place.
    fn replace_due(&mut self) {
        let Some(index) = self.replacement.as_mut().and_then(Replacement::due) else {
            return;
        };
        let at_ms = self.start.elapsed().as_millis();
        self.report
            .faults
            .push(format!("{at_ms} instance {index} replaced"));
        self.report.replaced += 1;
        self.signal(index, "KILL");
        self.restart(index);
    }

    /// Sends a request. Before that, changes a key and starts odd callers if it is time.
    fn send_next(&mut self, sent: &mut Vec<task::JoinHandle<Call>>) {
        if Instant::now() >= self.next_change {
            let change = self.keys.change();
            self.publish();
            let at_ms = self.start.elapsed().as_millis();
            self.report.faults.push(format!("{at_ms} key {change}"));
            self.next_change = self.next_time();
        }
        if Instant::now() >= self.next_odd {
            for _ in 0..self.caller_rng.random_range(1..=MAX_ODD_CALLERS) {
                sent.push(self.send_odd());
            }
            self.next_odd = self.next_time();
        }
        let is_write = self.rng.random_bool(0.4);
        let index = self.rng.random_range(0..self.rig.instances.len());
        sent.push(self.send_one(is_write, index, None));
    }

    fn next_time(&mut self) -> Instant {
        let gap_ms = self.caller_rng.random_range(100..MAX_CHANGE_GAP_MS);
        Instant::now() + Duration::from_millis(gap_ms)
    }

    fn send_odd(&mut self) -> task::JoinHandle<Call> {
        let index = self.caller_rng.random_range(0..self.rig.instances.len());
        let is_slow = self.caller_rng.random_bool(0.5);
        let odd_caller = if is_slow {
            OddCaller::SlowReader
        } else {
            OddCaller::HalfBody
        };
        self.report.odd_callers += 1;
        self.send_one(!is_slow, index, Some(odd_caller))
    }

    fn send_one(
        &mut self,
        is_write: bool,
        index: usize,
        odd_caller: Option<OddCaller>,
    ) -> task::JoinHandle<Call> {
        let mut request = self.rig.request(is_write);
        request.key = self.keys.pick();
        match odd_caller {
            Some(OddCaller::SlowReader) => request.path = format!("/read{LARGE}{}", request.id),
            Some(OddCaller::HalfBody) => request.body = vec![b'x'; ODD_BODY_BYTES],
            None => (),
        }
        let is_settled = self.is_settled(index);
        let addr = self.rig.instances[index].caller_addr();
        let is_kept = odd_caller.is_none() && self.kept_rng.random_bool(KEPT_SHARE);
        let kept = is_kept.then(|| Arc::clone(&self.kept[index]));
        task::spawn(async move {
            let sent_at = Instant::now();
            let mut is_reused = false;
            let result = match (odd_caller, kept) {
                (None, None) => send(addr, &request).await,
                (None, Some(kept)) => {
                    let stream = lock(&kept).take();
                    is_reused = stream.is_some();
                    let (result, stream) = send_keeping(stream, addr, &request).await;
                    *lock(&kept) = stream;
                    result
                }
                (Some(caller), _) => {
                    caller.call(addr, &request.bytes()).await;
                    FleetResult::Cut
                }
            };
            Call {
                request,
                result,
                sent_at,
                ended_at: Instant::now(),
                is_settled,
                odd_caller,
                is_reused,
            }
        })
    }

    /// Sends `count` requests.
    async fn send_many(&mut self, count: usize) -> Vec<task::JoinHandle<Call>> {
        let mut sent = Vec::new();
        for _ in 0..count {
            self.send_next(&mut sent);
            task::sleep(REQUEST_INTERVAL).await;
        }
        sent
    }

    /// Returns whether the instance must know all changes of keys in time.
    fn is_settled(&self, index: usize) -> bool {
        let disturbs = |fault: &ActiveFault| match fault {
            ActiveFault::Store => true,
            ActiveFault::PausedInstance(i) | ActiveFault::StoppedInstance(i) => *i == index,
            _ => false,
        };
        let is_disturbed = self.active_faults.iter().any(|(_, fault)| disturbs(fault));
        !is_disturbed && self.disturbed_at[index].elapsed() > CONTACT_TIME
    }

    /// Reports instances that have ended although no fault stopped them, and restarts them.
    fn check_processes(&mut self) {
        for index in 0..self.rig.instances.len() {
            let is_stopped = |fault: &ActiveFault| matches!(fault, ActiveFault::StoppedInstance(i) if *i == index);
            if self.active_faults.iter().any(|(_, f)| is_stopped(f)) {
                continue;
            }
            let status = self.rig.instances[index].exit_status();
            if !matches!(status, Ok(None)) {
                let description = format!("instance {index} ended by itself: {status:?}");
                self.report.violations.push(description);
                self.restart(index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        if let Err(error) = self.rig.instances[index].restart() {
            let description = format!("instance {index} did not start: {error}");
            self.report.violations.push(description);
        }
        self.disturbed_at[index] = Instant::now();
    }

    fn begin_fault(&mut self) {
        self.check_processes();
        let mut fault_ms = self.rng.random_range(200..MAX_FAULT_MS);
        let at_ms = self.start.elapsed().as_millis();
        self.copies.push(self.rig.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.remove(0);
        }
        let (name, active_fault) = match self.rng.random_range(0..12) {
            0 => {
                let fault = *STORE_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&StoreFault::Silent);
                self.rig.store.set_fault(fault);
                fault_ms *= STORE_FAULT_FACTOR;
                (format!("store {fault:?}"), Some(ActiveFault::Store))
            }
            1 | 2 => {
                let index = self.rng.random_range(0..self.rig.targets.len());
                let fault = *TARGET_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&TargetFault::Mute);
                self.rig.targets[index].set_fault(fault);
                (
                    format!("target {index} {fault:?}"),
                    Some(ActiveFault::Target(index)),
                )
            }
            3 => {
                let index = self.rng.random_range(0..self.rig.targets.len());
                let mode = *PROXY_MODES
                    .choose(&mut self.rng)
                    .unwrap_or(&ProxyMode::Reset);
                self.rig.targets[index].proxy.set_mode(mode);
                (
                    format!("proxy {index} {mode:?}"),
                    Some(ActiveFault::Proxy(index)),
                )
            }
            4 => {
                let index = self.rng.random_range(0..self.rig.instances.len());
                self.signal(index, "STOP");
                (
                    format!("instance {index} paused"),
                    Some(ActiveFault::PausedInstance(index)),
                )
            }
            5 => {
                let index = self.rng.random_range(0..self.rig.instances.len());
                let signal = if self.rng.random_bool(0.5) {
                    "TERM"
                } else {
                    "KILL"
                };
                self.signal(index, signal);
                (
                    format!("instance {index} {signal}"),
                    Some(ActiveFault::StoppedInstance(index)),
                )
            }
            6 => {
                self.add_route();
                (String::from("route added"), None)
            }
            7 => {
                self.restore_store();
                (String::from("store restored"), None)
            }
            choice @ 8..=10 => self.begin_statement(choice),
            _ => {
                let zone = *ZONES.choose(&mut self.rng).unwrap_or(&"a");
                self.rig
                    .store
                    .put("keyed.op", &format!("evacuate/{zone}"), "{}");
                (format!("zone {zone} out"), Some(ActiveFault::Zone(zone)))
            }
        };
        self.report
            .faults
            .push(format!("{at_ms} {name} for {fault_ms} ms"));
        let until = Instant::now() + Duration::from_millis(fault_ms);
        self.active_faults
            .extend(active_fault.map(|fault| (until, fault)));
    }

    /// Makes a target state a limit (8), that it leaves (9) or that it wants no requests for some time.
    fn begin_statement(&mut self, choice: u32) -> (String, Option<ActiveFault>) {
        let index = self.rng.random_range(0..self.rig.targets.len());
        let values: &[&str] = match choice {
            8 => &["0", "0.7", "3.5", "x"],
            9 => &["1", "no"],
            _ => &["0.4", "2", "-1"],
        };
        let value = *values.choose(&mut self.rng).unwrap_or(&"1");
        let target = &self.rig.targets[index];
        let (name, fault) = match choice {
            8 => {
                target.set_limit(Some(value));
                ("limit", ActiveFault::LimitedTarget(index))
            }
            9 => {
                target.set_leaving(Some(value));
                ("leaving", ActiveFault::LeavingTarget(index))
            }
            _ => {
                target.set_retry_after(Some(value));
                ("closed", ActiveFault::ClosedTarget(index))
            }
        };
        (format!("target {index} {name} {value}"), Some(fault))
    }

    /// Publishes a configuration with one more route.
    fn add_route(&mut self) {
        let name = format!("added-{}", self.routes.len());
        self.routes.push(serde_json::json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2,
        }));
        self.publish();
    }

    /// Makes the store come back from an earlier copy. The operator writes again what it holds.
    fn restore_store(&mut self) {
        if let Some(copy) = self.copies.choose(&mut self.rng) {
            self.rig.store.restore(copy.clone());
        }
        self.copies.clear();
        self.rig.republish();
        self.disturbed_at.fill(Instant::now());
        for zone in ZONES {
            let is_out = |fault: &ActiveFault| matches!(fault, ActiveFault::Zone(z) if *z == zone);
            let is_out = self.active_faults.iter().any(|(_, fault)| is_out(fault));
            let value = if is_out { "{}" } else { "" };
            let key = format!("evacuate/{zone}");
            self.rig.store.put("keyed.op", &key, value);
        }
    }

    fn end_faults(&mut self, now: Instant) {
        let (ended, active): (Vec<_>, Vec<_>) = std::mem::take(&mut self.active_faults)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.active_faults = active;
        for (_, fault) in ended {
            self.end_fault(&fault);
        }
    }

    fn end_fault(&mut self, fault: &ActiveFault) {
        match *fault {
            ActiveFault::Store => {
                self.rig.store.set_fault(StoreFault::None);
                self.disturbed_at.fill(Instant::now());
            }
            ActiveFault::Target(index) => self.rig.targets[index].set_fault(TargetFault::None),
            ActiveFault::Proxy(index) => self.rig.targets[index].proxy.set_mode(ProxyMode::Pass),
            ActiveFault::PausedInstance(index) => {
                self.signal(index, "CONT");
                self.disturbed_at[index] = Instant::now();
            }
            ActiveFault::LimitedTarget(index) => self.rig.targets[index].set_limit(None),
            ActiveFault::ClosedTarget(index) => self.rig.targets[index].set_retry_after(None),
            ActiveFault::LeavingTarget(index) => {
                // The next process of the target.
                self.rig.targets[index].set_leaving(None);
                self.rig.targets[index].restart();
            }
            ActiveFault::Zone(zone) => {
                self.rig
                    .store
                    .put("keyed.op", &format!("evacuate/{zone}"), "");
            }
            ActiveFault::StoppedInstance(index) => {
                // TERM has no effect while another fault pauses the process. An overlapping fault
                // of this kind may have restarted it already.
                self.signal(index, "CONT");
                self.signal(index, "KILL");
                self.restart(index);
            }
        }
    }

    fn signal(&mut self, index: usize, name: &str) {
        let status = self.rig.instances[index].exit_status();
        if matches!(status, Ok(None))
            && let Err(error) = self.rig.instances[index].signal(name)
        {
            self.report
                .violations
                .push(format!("instance {index}: {name}: {error}"));
        }
    }

    /// Checks the result of a request. Counts it if its caller is an ordinary one with a valid key.
    /// Returns whether it was served, or `None` if it does not count.
    fn check_call(&mut self, call: &Call) -> Option<bool> {
        self.check_request(call);
        self.report.refused_keys += usize::from(call.result.status() == 401);
        // An instance may close a connection while the next request is on its way.
        let has_crossed = call.is_reused && matches!(call.result, FleetResult::Cut);
        if call.odd_caller.is_some() || has_crossed || !call.has_valid_key(&self.keys) {
            return None;
        }
        let is_served = call.result.is_served(&call.request.id);
        self.report.requests += 1;
        self.report.served += usize::from(is_served);
        Some(is_served)
    }

    /// Checks the conditions that hold for every request under any fault.
    fn check_request(&mut self, call: &Call) {
        let Call {
            request, result, ..
        } = call;
        let (runs, status) = (self.rig.run_count(&request.id), result.status());
        let is_write = request.method == "POST";
        let key_violations = call.key_violations(&self.rig, &self.keys);
        let mut report_violation = |description: &str| {
            self.report.violations.push(format!(
                "{} {}: {description}, runs {runs}: {result:?}",
                request.method, request.id
            ));
        };
        if is_write && runs > 1 {
            report_violation("ran more than once");
        }
        if is_write && runs > 0 && matches!(status, 408 | 421 | 429 | 503) {
            report_violation("refused as not run");
        }
        if status == 200 && !result.is_served(&request.id) {
            report_violation("success that is not the target's response");
        }
        if status == 404 {
            report_violation("route denied");
        }
        if !is_write && runs > 2 {
            report_violation("more attempts than allowed");
        }
        for violation in key_violations {
            report_violation(&violation);
        }
    }

    /// Restarts instances that are down and checks that the system serves requests again.
    async fn check_recovery(&mut self) {
        self.rig.store.set_fault(StoreFault::None);
        self.check_processes();
        task::sleep(RECOVERY_TIME).await;
        let (mut served, mut count) = (0, 0);
        let sent = self.send_many(FINAL_REQUESTS).await;
        for call in join_all(sent).await {
            let is_served = self.check_call(&call);
            count += usize::from(is_served.is_some());
            served += usize::from(is_served == Some(true));
        }
        if served * 100 < count * MIN_SERVED_PERCENT || count * 2 < FINAL_REQUESTS {
            let description = format!("{served} of {count} served after the last fault");
            self.report.violations.push(description);
        }
        self.check_routes().await;
        self.check_limit().await;
        self.check_processes();
    }

    /// Checks that all instances serve the route that was added last.
    async fn check_routes(&mut self) {
        let Some(route) = self.routes.last() else {
            return;
        };
        let prefix = route["path_prefix"].as_str().unwrap_or_default();
        for instance in &self.rig.instances {
            let mut request = self.rig.request(false);
            request.path = format!("{prefix}1");
            request.key = self.keys.valid_key();
            let status = send(instance.caller_addr(), &request).await.status();
            if status == 404 {
                let description = format!("{}: no route {prefix}", instance.ip);
                self.report.violations.push(description);
            }
        }
    }

    /// Checks that the instances together keep to a limit that a target states.
    async fn check_limit(&mut self) {
        self.rig.targets[0].set_limit(Some(&FINAL_LIMIT.to_string()));
        let start = Instant::now();
        self.next_odd = start + 2 * LIMIT_TIME;
        let count = LIMIT_TIME.as_millis() / REQUEST_INTERVAL.as_millis();
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let sent = self.send_many(count).await;
        // Without the time in which the last callers read their responses.
        let sent_time = start.elapsed();
        for call in join_all(sent).await {
            self.check_request(&call);
            self.report.refused_keys += usize::from(call.result.status() == 401);
        }
        let arrivals = self.rig.targets[0].arrivals().into_iter();
        let late = arrivals.filter(|at| *at >= start + LIMIT_START).count();
        let seconds = sent_time.saturating_sub(LIMIT_START).as_secs_f64();
        let allowed = 1.5 * FINAL_LIMIT * seconds + 5.0;
        if late as f64 > allowed {
            let description = format!("{late} requests in {seconds:.1} s, limit {FINAL_LIMIT}");
            self.report.violations.push(description);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
