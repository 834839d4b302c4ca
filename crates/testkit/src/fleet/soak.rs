//! A randomised soak: gateway processes under load while faults come from outside, alone and
//! overlapping. Checks what callers and targets see.

use std::{
    io,
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{
    FleetAnswer, FleetRequest, FleetRig, ProxyMode, RigSpec, StoreFault, TargetFault, send,
};

/// Time between two requests.
const PACE: Duration = Duration::from_millis(6);
/// Longest time between two faults, in milliseconds.
const MAX_GAP_MS: u64 = 900;
/// Longest time of one fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;
/// Time after the last fault within which the system serves again.
const RECOVER: Duration = Duration::from_secs(6);
/// Requests after the recovery.
const CLOSING_REQUESTS: usize = 150;
/// Part of the requests after the recovery that must be served, in percent. The platform asks for a
/// quarter of what was served before; with all faults over, nearly all must be.
const CLOSING_PERCENT: usize = 97;
const TARGET_FAULTS: [TargetFault; 9] = [
    TargetFault::Shed,
    TargetFault::Error,
    TargetFault::LoseAnswer,
    TargetFault::Truncate,
    TargetFault::Extra,
    TargetFault::Garbage,
    TargetFault::StrayFirst,
    TargetFault::NoLength,
    TargetFault::Mute,
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

/// A fault that lasts until a time.
enum Running {
    Store,
    Target(usize),
    Proxy(usize),
    Paused(usize),
    Down(usize),
    Zone(&'static str),
}

/// What a soak has seen.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests with a proper answer.
    pub served: usize,
    /// Faults played, in order, with their times in ms.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// Plays faults for `length` with everything drawn from `seed`.
///
/// # Errors
///
/// If the deployment cannot be started.
pub async fn soak(binary: &Path, seed: u64, length: Duration) -> io::Result<SoakReport> {
    let spec = RigSpec {
        instances: 5,
        targets: 8,
        work_ms: 25,
    };
    let mut soak = Soak {
        rig: FleetRig::start(binary, spec).await?,
        rng: StdRng::seed_from_u64(seed),
        running: Vec::new(),
        report: SoakReport::default(),
        start: Instant::now(),
    };
    soak.play(length).await;
    soak.close().await;
    Ok(soak.report)
}

struct Soak {
    rig: FleetRig,
    rng: StdRng,
    running: Vec<(Instant, Running)>,
    report: SoakReport,
    start: Instant,
}

impl Soak {
    async fn play(&mut self, length: Duration) {
        let mut sent = Vec::new();
        let mut next_fault = self.start;
        while self.start.elapsed() < length {
            if Instant::now() >= next_fault {
                self.begin_fault();
                let gap = self.rng.random_range(50..MAX_GAP_MS);
                next_fault = Instant::now() + Duration::from_millis(gap);
            }
            self.end_faults(Instant::now());
            sent.push(self.send_one());
            task::sleep(PACE).await;
        }
        // The last ones end, whatever is left of their time.
        self.end_faults(Instant::now() + Duration::from_millis(MAX_FAULT_MS));
        for (request, answer) in join_all(sent).await {
            self.judge(&request, &answer);
        }
    }

    fn send_one(&mut self) -> task::JoinHandle<(FleetRequest, FleetAnswer)> {
        let request = self.rig.request(self.rng.random_bool(0.4));
        let at = self.rng.random_range(0..self.rig.instances.len());
        let addr = self.rig.instances[at].callers();
        task::spawn(async move {
            let answer = send(addr, &request).await;
            (request, answer)
        })
    }

    fn begin_fault(&mut self) {
        let fault_ms = self.rng.random_range(200..MAX_FAULT_MS);
        let until = Instant::now() + Duration::from_millis(fault_ms);
        let at_ms = self.start.elapsed().as_millis();
        let (name, running) = match self.rng.random_range(0..7) {
            0 => {
                let fault = *STORE_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&StoreFault::Silent);
                self.rig.store.set_fault(fault);
                (format!("store {fault:?}"), Running::Store)
            }
            1 | 2 => {
                let at = self.rng.random_range(0..self.rig.targets.len());
                let fault = *TARGET_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&TargetFault::Mute);
                self.rig.targets[at].set_fault(fault);
                (format!("target {at} {fault:?}"), Running::Target(at))
            }
            3 => {
                let at = self.rng.random_range(0..self.rig.targets.len());
                let mode = *PROXY_MODES
                    .choose(&mut self.rng)
                    .unwrap_or(&ProxyMode::Reset);
                self.rig.targets[at].proxy.set_mode(mode);
                (format!("proxy {at} {mode:?}"), Running::Proxy(at))
            }
            4 => {
                let at = self.rng.random_range(0..self.rig.instances.len());
                self.signal(at, "STOP");
                (format!("instance {at} paused"), Running::Paused(at))
            }
            5 => {
                let at = self.rng.random_range(0..self.rig.instances.len());
                let signal = if self.rng.random_bool(0.5) {
                    "TERM"
                } else {
                    "KILL"
                };
                self.signal(at, signal);
                (format!("instance {at} {signal}"), Running::Down(at))
            }
            _ => {
                let zone = *["a", "b", "c"].choose(&mut self.rng).unwrap_or(&"a");
                self.rig
                    .store
                    .put("keyed.op", &format!("evacuate/{zone}"), "{}");
                (format!("zone {zone} out"), Running::Zone(zone))
            }
        };
        self.report
            .faults
            .push(format!("{at_ms} {name} for {fault_ms} ms"));
        self.running.push((until, running));
    }

    fn end_faults(&mut self, now: Instant) {
        let (over, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.running = running;
        for (_, fault) in over {
            self.end_fault(&fault);
        }
    }

    fn end_fault(&mut self, fault: &Running) {
        match *fault {
            Running::Store => self.rig.store.set_fault(StoreFault::None),
            Running::Target(at) => self.rig.targets[at].set_fault(TargetFault::None),
            Running::Proxy(at) => self.rig.targets[at].proxy.set_mode(ProxyMode::Pass),
            Running::Paused(at) => self.signal(at, "CONT"),
            Running::Zone(zone) => self
                .rig
                .store
                .put("keyed.op", &format!("evacuate/{zone}"), ""),
            Running::Down(at) => {
                // A paused process does not end by TERM, and one may be down twice.
                self.signal(at, "CONT");
                self.signal(at, "KILL");
                if let Err(error) = self.rig.instances[at].restart() {
                    self.report
                        .broken
                        .push(format!("instance {at} did not start: {error}"));
                }
            }
        }
    }

    fn signal(&mut self, at: usize, name: &str) {
        let ended = self.rig.instances[at].ended();
        if matches!(ended, Ok(None))
            && let Err(error) = self.rig.instances[at].signal(name)
        {
            self.report
                .broken
                .push(format!("instance {at}: {name}: {error}"));
        }
    }

    /// Checks what must hold for every request, whatever happens.
    fn judge(&mut self, request: &FleetRequest, answer: &FleetAnswer) {
        self.report.requests += 1;
        let (runs, status) = (self.rig.runs(&request.id), answer.status());
        let is_write = request.method == "POST";
        let mut broken = |what: &str| {
            self.report.broken.push(format!(
                "{} {}: {what}, runs {runs}: {answer:?}",
                request.method, request.id
            ));
        };
        if is_write && runs > 1 {
            broken("ran more than once");
        }
        if is_write && runs > 0 && matches!(status, 408 | 421 | 429 | 503) {
            broken("refused as not run");
        }
        if status == 200 && !answer.is_proper(&request.id) {
            broken("success that is not the target's response");
        }
        if status == 404 {
            broken("route denied");
        }
        if !is_write && runs > 2 {
            broken("more attempts than allowed");
        }
        self.report.served += usize::from(answer.is_proper(&request.id));
    }

    /// All faults are over: the system must serve again.
    async fn close(&mut self) {
        self.rig.store.set_fault(StoreFault::None);
        for at in 0..self.rig.instances.len() {
            let is_down = !matches!(self.rig.instances[at].ended(), Ok(None));
            if is_down && let Err(error) = self.rig.instances[at].restart() {
                self.report
                    .broken
                    .push(format!("instance {at} did not start: {error}"));
            }
        }
        task::sleep(RECOVER).await;
        let sent = self.rig.send_many(CLOSING_REQUESTS, PACE).await;
        let mut served = 0;
        for (request, answer) in &sent {
            served += usize::from(answer.is_proper(&request.id));
            self.judge(request, answer);
        }
        if served * 100 < CLOSING_REQUESTS * CLOSING_PERCENT {
            let what = format!("{served} of {CLOSING_REQUESTS} served after the last fault");
            self.report.broken.push(what);
        }
    }
}
