//! What targets say of themselves in responses to gateway processes: that they leave, and that they want
//! no requests for some time.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use testkit::fleet::{FleetRig, FleetTarget, RigSpec, StoreFault, send};

const RIG_SPEC: RigSpec = RigSpec {
    instances: 3,
    targets: 3,
    processing_ms: 10,
};
/// Time in which an instance may still send requests to a target that has said that it leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

async fn start_rig(instances: usize) -> FleetRig {
    let spec = RigSpec {
        instances,
        ..RIG_SPEC
    };
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), spec)
        .await
        .unwrap()
}

/// Sends `count` requests to all instances in turn. Returns how many were served.
async fn served(rig: &FleetRig, count: usize) -> usize {
    let sent = rig.send_many(count, Duration::from_millis(8)).await;
    let is_served = sent.iter().filter(|(request, r)| r.is_served(&request.id));
    is_served.count()
}

fn arrived_since(target: &FleetTarget, start: Instant) -> usize {
    let arrivals = target.arrivals();
    arrivals.iter().filter(|at| **at > start).count()
}

/// Guards against requests to a target that leaves and says so in its responses alone.
#[test]
fn leaving_told_by_responses_ends_requests() {
    task::block_on(async {
        let rig = start_rig(3).await;
        rig.targets[0].set_leaving(Some("1"));
        assert_eq!(served(&rig, 90).await, 90);
        let start = Instant::now();
        task::sleep(LEAVE_LIMIT).await;
        assert_eq!(served(&rig, 90).await, 90);
        assert_eq!(arrived_since(&rig.targets[0], start), 0);
    });
}

/// Guards against a target that has said that it leaves and gets requests again because its entry is
/// written anew, the store comes back from an earlier copy, or the entry lapses and returns.
#[test]
fn leaving_is_not_undone_by_entries() {
    task::block_on(async {
        let rig = start_rig(2).await;
        let copy = rig.store.copy();
        rig.targets[0].set_leaving(Some("1"));
        served(&rig, 60).await;
        task::sleep(Duration::from_millis(600)).await;
        let start = Instant::now();
        rig.store.put("keyed.servers", "i-0", "");
        task::sleep(Duration::from_millis(1_200)).await;
        served(&rig, 60).await;
        rig.store.restore(copy);
        rig.republish();
        task::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(served(&rig, 60).await, 60);
        assert_eq!(arrived_since(&rig.targets[0], start), 0);
    });
}

/// Guards against a target that starts anew under its name and never gets requests again.
#[test]
fn leaving_does_not_hold_for_next_process() {
    task::block_on(async {
        let rig = start_rig(2).await;
        rig.targets[0].set_leaving(Some("1"));
        served(&rig, 60).await;
        rig.targets[0].set_leaving(None);
        rig.targets[0].restart();
        task::sleep(Duration::from_millis(1_500)).await;
        let start = Instant::now();
        assert_eq!(served(&rig, 90).await, 90);
        assert!(arrived_since(&rig.targets[0], start) > 0);
    });
}

/// Guards against instances that each learn by a request of their own that a target leaves, also while
/// the store is away.
#[test]
fn leaving_is_told_to_other_instances() {
    task::block_on(async {
        let rig = start_rig(3).await;
        served(&rig, 30).await;
        rig.store.set_fault(StoreFault::Refuse(503));
        rig.targets[0].set_leaving(Some("1"));
        for _ in 0..30 {
            let request = rig.request(false);
            send(rig.instances[0].caller_addr(), &request).await;
        }
        task::sleep(Duration::from_millis(1_300)).await;
        let start = Instant::now();
        for _ in 0..10 {
            // More at a time than the targets of one zone take at once.
            let requests: Vec<_> = (0..6).map(|_| rig.request(false)).collect();
            let sent = requests.iter().zip([1, 2].into_iter().cycle());
            join_all(sent.map(|(r, n)| send(rig.instances[n].caller_addr(), r))).await;
        }
        assert!(arrived_since(&rig.targets[1], start) > 0);
        assert_eq!(arrived_since(&rig.targets[0], start), 0);
    });
}

/// Guards against a malformed value that takes a sound target out of use.
#[test]
fn malformed_leaving_changes_nothing() {
    task::block_on(async {
        let rig = start_rig(2).await;
        for target in &rig.targets {
            target.set_leaving(Some("maybe"));
        }
        assert_eq!(served(&rig, 60).await, 60);
        let logs = rig.instances[0].log_text().unwrap();
        assert!(logs.contains("event=leaving_malformed"), "not logged");
    });
}

/// Guards against requests to a target that has turned one away and said for how long.
#[test]
fn closed_target_gets_no_requests_until_its_time() {
    task::block_on(async {
        // What a target says holds for the instance that it says it to.
        let rig = start_rig(1).await;
        rig.targets[0].set_retry_after(Some("3"));
        assert_eq!(served(&rig, 60).await, 60);
        let start = Instant::now();
        task::sleep(Duration::from_millis(400)).await;
        assert_eq!(served(&rig, 120).await, 120);
        assert_eq!(arrived_since(&rig.targets[0], start), 0);
        rig.targets[0].set_retry_after(None);
        task::sleep(Duration::from_millis(2_300)).await;
        let start = Instant::now();
        assert_eq!(served(&rig, 90).await, 90);
        assert!(
            arrived_since(&rig.targets[0], start) > 0,
            "it is used again"
        );
    });
}

/// Guards against requests that wait, or are sent to targets that want none, while all turn requests
/// away; and against a time to return at which they still do.
#[test]
fn request_is_refused_at_once_while_all_targets_are_closed() {
    task::block_on(async {
        let rig = start_rig(1).await;
        for target in &rig.targets {
            target.set_retry_after(Some("1.2"));
        }
        served(&rig, 12).await;
        let start = Instant::now();
        let request = rig.request(true);
        let response = send(rig.instances[0].caller_addr(), &request).await;
        let took = start.elapsed();
        assert_eq!(response.status(), 503);
        assert!(took < Duration::from_millis(100), "{took:?}");
        let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(seconds > 0.5 && seconds <= 1.2, "{seconds}");
        let arrived: usize = rig.targets.iter().map(|t| arrived_since(t, start)).sum();
        assert_eq!(arrived, 0);
        for target in &rig.targets {
            target.set_retry_after(None);
        }
        task::sleep(Duration::from_secs_f64(seconds)).await;
        let request = rig.request(true);
        let response = send(rig.instances[0].caller_addr(), &request).await;
        assert!(response.is_served(&request.id), "{response:?}");
    });
}
