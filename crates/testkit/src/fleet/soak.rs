//! A randomised soak test: gateway processes serve load while faults of the store, targets,
//! connections, instances and zones come and go, also overlapping. It checks the results that
//! callers and targets see.

use std::{
    io,
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{
    FleetRequest, FleetResult, FleetRig, ProxyMode, RigSpec, StoreFault, TargetFault, send,
};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(6);
/// Longest time between the starts of two faults, in milliseconds.
const MAX_FAULT_GAP_MS: u64 = 900;
/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;
/// Time that the system has to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Number of requests that are sent after the recovery.
const FINAL_REQUESTS: usize = 150;
/// Percentage of the requests after the recovery that must be served. The platform requires only a
/// quarter of what was served before. Once all faults have ended, nearly all must be served.
const MIN_SERVED_PERCENT: usize = 97;
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

/// A fault in progress, with the index or name of what it affects.
enum ActiveFault {
    Store,
    Target(usize),
    Proxy(usize),
    PausedInstance(usize),
    StoppedInstance(usize),
    Zone(&'static str),
}

/// Results of a soak test.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Injected faults in order, each with its start and its duration in milliseconds.
    pub faults: Vec<String>,
    /// Checks that failed, one description each.
    pub violations: Vec<String>,
}

/// Runs a soak test with faults for `duration`, then checks that the system recovers. All random
/// choices come from `seed`.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started.
pub async fn soak(binary: &Path, seed: u64, duration: Duration) -> io::Result<SoakReport> {
    let spec = RigSpec {
        instances: 5,
        targets: 8,
        processing_ms: 25,
    };
    let mut soak = Soak {
        rig: FleetRig::start(binary, spec).await?,
        rng: StdRng::seed_from_u64(seed),
        active_faults: Vec::new(),
        report: SoakReport::default(),
        start: Instant::now(),
    };
    soak.run_faults(duration).await;
    soak.check_recovery().await;
    Ok(soak.report)
}

struct Soak {
    rig: FleetRig,
    rng: StdRng,
    /// Faults in progress, each with the time at which it ends.
    active_faults: Vec<(Instant, ActiveFault)>,
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
            sent.push(self.send_one());
            task::sleep(REQUEST_INTERVAL).await;
        }
        // Ends all faults, including those whose duration has not passed.
        self.end_faults(Instant::now() + Duration::from_millis(MAX_FAULT_MS));
        for (request, result) in join_all(sent).await {
            self.check_request(&request, &result);
        }
    }

    fn send_one(&mut self) -> task::JoinHandle<(FleetRequest, FleetResult)> {
        let request = self.rig.request(self.rng.random_bool(0.4));
        let index = self.rng.random_range(0..self.rig.instances.len());
        let addr = self.rig.instances[index].caller_addr();
        task::spawn(async move {
            let result = send(addr, &request).await;
            (request, result)
        })
    }

    fn begin_fault(&mut self) {
        let fault_ms = self.rng.random_range(200..MAX_FAULT_MS);
        let until = Instant::now() + Duration::from_millis(fault_ms);
        let at_ms = self.start.elapsed().as_millis();
        let (name, active_fault) = match self.rng.random_range(0..7) {
            0 => {
                let fault = *STORE_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&StoreFault::Silent);
                self.rig.store.set_fault(fault);
                (format!("store {fault:?}"), ActiveFault::Store)
            }
            1 | 2 => {
                let index = self.rng.random_range(0..self.rig.targets.len());
                let fault = *TARGET_FAULTS
                    .choose(&mut self.rng)
                    .unwrap_or(&TargetFault::Mute);
                self.rig.targets[index].set_fault(fault);
                (
                    format!("target {index} {fault:?}"),
                    ActiveFault::Target(index),
                )
            }
            3 => {
                let index = self.rng.random_range(0..self.rig.targets.len());
                let mode = *PROXY_MODES
                    .choose(&mut self.rng)
                    .unwrap_or(&ProxyMode::Reset);
                self.rig.targets[index].proxy.set_mode(mode);
                (format!("proxy {index} {mode:?}"), ActiveFault::Proxy(index))
            }
            4 => {
                let index = self.rng.random_range(0..self.rig.instances.len());
                self.signal(index, "STOP");
                (
                    format!("instance {index} paused"),
                    ActiveFault::PausedInstance(index),
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
                    ActiveFault::StoppedInstance(index),
                )
            }
            _ => {
                let zone = *["a", "b", "c"].choose(&mut self.rng).unwrap_or(&"a");
                self.rig
                    .store
                    .put("keyed.op", &format!("evacuate/{zone}"), "{}");
                (format!("zone {zone} out"), ActiveFault::Zone(zone))
            }
        };
        self.report
            .faults
            .push(format!("{at_ms} {name} for {fault_ms} ms"));
        self.active_faults.push((until, active_fault));
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
            ActiveFault::Store => self.rig.store.set_fault(StoreFault::None),
            ActiveFault::Target(index) => self.rig.targets[index].set_fault(TargetFault::None),
            ActiveFault::Proxy(index) => self.rig.targets[index].proxy.set_mode(ProxyMode::Pass),
            ActiveFault::PausedInstance(index) => self.signal(index, "CONT"),
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
                if let Err(error) = self.rig.instances[index].restart() {
                    self.report
                        .violations
                        .push(format!("instance {index} did not start: {error}"));
                }
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

    /// Checks the conditions that hold for every request under any fault.
    fn check_request(&mut self, request: &FleetRequest, result: &FleetResult) {
        self.report.requests += 1;
        let (runs, status) = (self.rig.run_count(&request.id), result.status());
        let is_write = request.method == "POST";
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
        self.report.served += usize::from(result.is_served(&request.id));
    }

    /// Restarts instances that are down and checks that the system serves requests again.
    async fn check_recovery(&mut self) {
        self.rig.store.set_fault(StoreFault::None);
        for index in 0..self.rig.instances.len() {
            let has_ended = !matches!(self.rig.instances[index].exit_status(), Ok(None));
            if has_ended && let Err(error) = self.rig.instances[index].restart() {
                self.report
                    .violations
                    .push(format!("instance {index} did not start: {error}"));
            }
        }
        task::sleep(RECOVERY_TIME).await;
        let sent = self.rig.send_many(FINAL_REQUESTS, REQUEST_INTERVAL).await;
        let mut served = 0;
        for (request, result) in &sent {
            served += usize::from(result.is_served(&request.id));
            self.check_request(request, result);
        }
        if served * 100 < FINAL_REQUESTS * MIN_SERVED_PERCENT {
            let description = format!("{served} of {FINAL_REQUESTS} served after the last fault");
            self.report.violations.push(description);
        }
    }
}
