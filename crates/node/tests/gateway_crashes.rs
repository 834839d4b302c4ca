//! Requests that crash each target that begins to run them, at gateway processes that run against
//! stand-ins of the platform's services.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use testkit::fleet::{
    FleetRequest, FleetResult, FleetRig, FleetTarget, GatewayProcess, ProxyMode, RigSpec,
    TargetFault, send,
};

const RIG_SPEC: RigSpec = RigSpec {
    instances: 3,
    targets: 9,
    processing_ms: 10,
};
/// Time after the third crash from which the platform counts what still reaches targets.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Most requests that may reach targets after that.
const MAX_LATE: usize = 3;
/// Result code of a request that is refused because it crashes targets.
const QUARANTINED: &str = "3013";

async fn start_rig(spec: RigSpec) -> FleetRig {
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), spec)
        .await
        .unwrap()
}

/// Returns a request that crashes the targets that run it. It is the same each time but for its id.
fn crashing_request(rig: &FleetRig) -> FleetRequest {
    let request = rig.request(false);
    FleetRequest {
        path: String::from("/read/crash/1?q=7"),
        ..request
    }
}

/// Sends the request that crashes targets `count` times, one every `interval`, to the instances in
/// turn. Returns the results.
async fn send_crashing(rig: &FleetRig, count: usize, interval: Duration) -> Vec<FleetResult> {
    let mut results = Vec::new();
    for index in 0..count {
        let request = crashing_request(rig);
        let instance = &rig.instances[index % rig.instances.len()];
        results.push(send(instance.caller_addr(), &request).await);
        task::sleep(interval).await;
    }
    results
}

/// Returns when targets crashed, in order.
fn crashes(rig: &FleetRig) -> Vec<Instant> {
    let mut crashes: Vec<Instant> = rig.targets.iter().flat_map(FleetTarget::crashes).collect();
    crashes.sort_unstable();
    crashes
}

fn is_quarantined(result: &FleetResult) -> bool {
    let FleetResult::Response(response) = result else {
        return false;
    };
    response.status == 503 && String::from_utf8_lossy(&response.body).contains(QUARANTINED)
}

fn logs(rig: &FleetRig) -> String {
    let logs = rig.instances.iter().map(|i| i.log_text().unwrap());
    logs.collect()
}

/// Guards against a request that crashes one target after the other, because each instance, and each
/// retry, forgets what the request has done before.
#[test]
fn crashing_request_ends_few_targets() {
    task::block_on(async {
        let rig = start_rig(RIG_SPEC).await;
        let results = send_crashing(&rig, 60, Duration::from_millis(150)).await;
        let crashes = crashes(&rig);
        assert!(crashes.len() >= 3, "only {} crashes", crashes.len());
        let late = crashes.iter().filter(|at| **at > crashes[2] + CONTACT_TIME);
        let late = late.count();
        assert!(
            late <= MAX_LATE,
            "{late} of {} crashes are late",
            crashes.len()
        );
        assert!(crashes.len() <= 6, "{} crashes", crashes.len());
        let refused = &results[results.len() - 10..];
        assert!(refused.iter().all(is_quarantined), "{refused:?}");
        let last = &results[results.len() - 1];
        let seconds: f64 = last.header("retry-after").unwrap().parse().unwrap();
        assert!(seconds >= 10.0, "{seconds}");
        assert!(logs(&rig).contains("event=crash_confirmed"), "not logged");
    });
}

/// Guards against an instance that starts after the crashes and sends the request to targets again.
#[test]
fn crashing_request_is_known_to_restarted_instance() {
    task::block_on(async {
        let mut rig = start_rig(RIG_SPEC).await;
        send_crashing(&rig, 15, Duration::from_millis(150)).await;
        let before = crashes(&rig).len();
        assert!(before >= 3, "only {before} crashes");
        rig.instances[1].signal("KILL").unwrap();
        rig.instances[1].restart().unwrap();
        while !rig.all_ready().await {
            task::sleep(Duration::from_millis(50)).await;
        }
        for _ in 0..5 {
            let request = crashing_request(&rig);
            let result = send(rig.instances[1].caller_addr(), &request).await;
            assert!(is_quarantined(&result), "{result:?}");
        }
        assert_eq!(crashes(&rig).len(), before);
    });
}

/// Guards against sound requests that are refused, or not served, because they were in progress at
/// targets that crashed under another request.
#[test]
fn sound_requests_beside_crashes_are_served() {
    task::block_on(async {
        let rig = start_rig(RIG_SPEC).await;
        let sound = async {
            let mut results = Vec::new();
            for round in 0..300 {
                let mut request = rig.request(false);
                // The same few requests again and again are in progress at many targets.
                request.path = format!("/read/{}?q=1", round % 5);
                let instance = &rig.instances[round % rig.instances.len()];
                let id = request.id.clone();
                results.push((id, send(instance.caller_addr(), &request).await));
                task::sleep(Duration::from_millis(10)).await;
            }
            results
        };
        let crashing = send_crashing(&rig, 20, Duration::from_millis(100));
        let (results, _) = futures::join!(sound, crashing);
        assert!(crashes(&rig).len() >= 3);
        let quarantined = results.iter().filter(|(_, r)| is_quarantined(r)).count();
        assert_eq!(quarantined, 0);
        let served = results.iter().filter(|(id, r)| r.is_served(id)).count();
        assert!(served >= 290, "{served} of {}", results.len());
    });
}

/// Guards against sound requests that are refused because many targets crash at once or one after the
/// other for a reason of their own.
#[test]
fn sound_requests_near_unrelated_crashes_are_not_refused() {
    task::block_on(async {
        let spec = RigSpec {
            processing_ms: 60,
            ..RIG_SPEC
        };
        let rig = start_rig(spec).await;
        for target in &rig.targets {
            // Six of nine targets are up at any time.
            target.set_outage(Duration::from_secs(1));
        }
        let mut sent = Vec::new();
        for round in 0..150 {
            let mut request = rig.request(false);
            request.path = String::from("/read/popular?q=1");
            let instance: &GatewayProcess = &rig.instances[round % rig.instances.len()];
            let addr = instance.caller_addr();
            sent.push(task::spawn(async move { send(addr, &request).await }));
            if matches!(round, 40 | 80 | 120) {
                let at = round / 40 - 1;
                for target in &rig.targets[at * 3..at * 3 + 3] {
                    target.crash();
                }
            }
            task::sleep(Duration::from_millis(30)).await;
        }
        let results = join_all(sent).await;
        let quarantined = results.iter().filter(|r| is_quarantined(r)).count();
        assert_eq!(quarantined, 0);
        assert!(
            logs(&rig).contains("event=crash_suspected"),
            "no crash was near"
        );
        let served = results.iter().filter(|r| r.status() == 200).count();
        assert!(served >= 140, "{served} of {}", results.len());
    });
}

/// Guards against lost answers, responses that break off, resets and silence of targets that run, which
/// are taken for crashes.
#[test]
fn closed_connections_of_running_targets_are_no_crashes() {
    task::block_on(async {
        let rig = start_rig(RIG_SPEC).await;
        let faults = [
            (TargetFault::LoseAnswer, ProxyMode::Pass),
            (TargetFault::Truncate, ProxyMode::Pass),
            (TargetFault::None, ProxyMode::Reset),
            (TargetFault::None, ProxyMode::Silent),
        ];
        for (fault, mode) in faults {
            for target in &rig.targets {
                target.set_fault(fault);
                target.proxy.set_mode(mode);
            }
            for _ in 0..4 {
                let mut request = rig.request(false);
                request.path = String::from("/read/popular?q=1");
                let result = send(rig.instances[0].caller_addr(), &request).await;
                assert!(result.status() >= 500, "{fault:?}, {mode:?}: {result:?}");
                assert!(!is_quarantined(&result), "{fault:?}, {mode:?}");
            }
        }
        let logs = logs(&rig);
        assert!(!logs.contains("event=crash_suspected"), "taken for a crash");
    });
}
