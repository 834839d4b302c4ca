//! Gateway processes over stand-ins of the platform: what must hold while targets, the store, the
//! configuration and the instances themselves change.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::json;
use testkit::fleet::{
    FleetProxy, FleetRig, GatewayProcess, ProxyMode, RigSpec, StoreFault, TargetSpec,
    query_directory, send,
};

/// Time within which targets, zones and configurations must be in force, from the platform's bounds.
const APPLY: Duration = Duration::from_secs(2);

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hibiscusway"))
}

async fn rig(instances: usize, targets: usize) -> FleetRig {
    let spec = RigSpec {
        instances,
        targets,
        processing_ms: 20,
    };
    FleetRig::start(binary(), spec).await.unwrap()
}

/// Part of the requests that got a proper answer.
#[expect(clippy::cast_precision_loss, reason = "counts of requests")]
async fn served(rig: &FleetRig, count: usize) -> f64 {
    let sent = rig.send_many(count, Duration::from_millis(8)).await;
    let good = sent.iter().filter(|(r, a)| a.is_served(&r.id)).count();
    good as f64 / count as f64
}

/// Guards against a system that does not form: instances that do not find each other, or serve in part.
#[test]
fn sixteen_instances_serve_and_name_each_other() {
    task::block_on(async {
        let rig = rig(16, 12).await;
        assert!((served(&rig, 320).await - 1.0).abs() < f64::EPSILON);
        task::sleep(Duration::from_secs(1)).await;
        for instance in &rig.instances {
            let named = query_directory(instance.directory_addr(), "shop.example", "nowhere").await;
            assert_eq!(named.len(), 16, "{} names {named:?}", instance.ip);
            let near =
                query_directory(instance.directory_addr(), "shop.example", &instance.zone).await;
            assert!(near.contains(&instance.caller_addr()) && near.len() < 16);
        }
    });
}

/// Guards against requests to a target that has announced its leaving.
#[test]
fn draining_target_gets_nothing_after_two_seconds() {
    task::block_on(async {
        let rig = rig(4, 4).await;
        served(&rig, 60).await;
        let start = Instant::now();
        rig.targets[0].drain();
        served(&rig, 400).await;
        let late = rig.targets[0]
            .arrivals()
            .iter()
            .filter(|at| **at > start + APPLY)
            .count();
        assert_eq!(late, 0);
    });
}

/// Guards against requests to a zone that the operator has taken out, and against a zone that stays out.
#[test]
fn evacuated_zone_gets_nothing_until_it_is_back() {
    task::block_on(async {
        let rig = rig(3, 6).await;
        rig.store.put("keyed.op", "evacuate/a", "{}");
        task::sleep(APPLY).await;
        let start = Instant::now();
        assert!(served(&rig, 200).await > 0.99);
        let in_zone = || rig.targets.iter().step_by(3);
        assert!(in_zone().all(|t| t.arrivals().iter().all(|at| *at < start)));
        rig.store.put("keyed.op", "evacuate/a", "");
        task::sleep(APPLY).await;
        served(&rig, 200).await;
        assert!(in_zone().any(|t| t.arrivals().iter().any(|at| *at > start)));
    });
}

/// Guards against a configuration that is not in force everywhere in time, or is taken back.
#[test]
fn configuration_is_in_force_everywhere_and_stays() {
    task::block_on(async {
        let rig = rig(4, 4).await;
        let route = json!({ "name": "new", "host": "shop.example", "path_prefix": "/new/",
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 });
        rig.publish(&[route]);
        task::sleep(APPLY).await;
        for round in 0..3 {
            for instance in &rig.instances {
                let mut request = rig.request(false);
                request.path = format!("/new/{round}");
                let answer = send(instance.caller_addr(), &request).await;
                assert_eq!(answer.status(), 200, "{}: {answer:?}", instance.ip);
            }
            // What is older must not come back when the history is read anew.
            rig.store.discard_records("keyed.op");
        }
    });
}

/// Guards against malformed records of other writers that stop the reader or name a target.
#[test]
fn malformed_records_harm_no_other() {
    task::block_on(async {
        let rig = rig(2, 3).await;
        for (key, value) in [
            ("odd", "{"),
            ("", "{}"),
            ("i-9", "{\"service\":3}"),
            ("i-8", "\u{1}"),
        ] {
            rig.store.put("keyed.servers", key, value);
        }
        rig.store.put("keyed.op", "config", "not a configuration");
        rig.store.put("keyed.op", "unheard/of", "x");
        let route = json!({ "name": "new", "host": "shop.example", "path_prefix": "/new/",
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 });
        rig.publish(&[route]);
        task::sleep(APPLY).await;
        let mut request = rig.request(false);
        request.path = String::from("/new/1");
        assert_eq!(
            send(rig.instances[0].caller_addr(), &request)
                .await
                .status(),
            200
        );
        assert!(served(&rig, 60).await > 0.99);
    });
}

/// Guards against a system that stops serving with the store, or forgets live targets on its return.
#[test]
fn store_outage_does_not_stop_service() {
    task::block_on(async {
        let rig = rig(3, 6).await;
        for fault in [StoreFault::Silent, StoreFault::Refuse(503)] {
            rig.store.set_fault(fault);
            // Entries lapse while the store is away.
            for target in &rig.targets {
                rig.store.put("keyed.servers", target.id(), "");
            }
            assert!(served(&rig, 300).await > 0.99, "{fault:?}");
            rig.store.set_fault(StoreFault::None);
            let part = served(&rig, 300).await;
            assert!(part > 0.99, "after {fault:?}: {part}");
        }
    });
}

/// Guards against instances that answer 404 or say that they are ready before they know anything.
#[test]
fn start_without_store_is_not_ready() {
    task::block_on(async {
        let mut rig = rig(2, 2).await;
        rig.store.set_fault(StoreFault::Refuse(503));
        for instance in &mut rig.instances {
            instance.signal("KILL").unwrap();
            instance.restart().unwrap();
        }
        task::sleep(Duration::from_millis(600)).await;
        assert!(!rig.all_ready().await);
        let answer = send(rig.instances[0].caller_addr(), &rig.request(true)).await;
        assert_eq!(answer.status(), 503, "{answer:?}");
        rig.store.set_fault(StoreFault::None);
        task::sleep(APPLY).await;
        assert!(rig.all_ready().await);
    });
}

/// Guards against a directory that names an instance that is gone.
#[test]
fn killed_instance_is_not_named_for_long() {
    task::block_on(async {
        let rig = rig(4, 3).await;
        task::sleep(Duration::from_secs(1)).await;
        rig.instances[0].signal("KILL").unwrap();
        // In touch after 3 s, and 3 s more.
        task::sleep(Duration::from_secs(4)).await;
        for other in &rig.instances[1..] {
            let named = query_directory(other.directory_addr(), "shop.example", "nowhere").await;
            assert!(
                !named.contains(&rig.instances[0].caller_addr()),
                "{named:?}"
            );
            assert_eq!(named.len(), 3);
        }
    });
}

/// Guards against a planned stop that cuts requests or stays ready.
#[test]
fn planned_stop_cuts_nothing() {
    task::block_on(async {
        let mut rig = rig(3, 4).await;
        let stopping = rig.instances[0].caller_addr();
        rig.instances[0].signal("TERM").unwrap();
        let mut cut = Vec::new();
        let start = Instant::now();
        // Callers use an old address answer for up to 3 s.
        while start.elapsed() < Duration::from_millis(2_700) {
            let request = rig.request(start.elapsed().as_millis().is_multiple_of(2));
            let answer = send(stopping, &request).await;
            if !answer.is_served(&request.id) {
                cut.push(answer);
            }
        }
        assert!(cut.is_empty(), "{cut:?}");
        assert!(!rig.all_ready().await);
        let limit = start + Duration::from_secs(6);
        loop {
            if let Some(status) = rig.instances[0].exit_status().unwrap() {
                assert!(status.success(), "{status}");
                break;
            }
            assert!(
                Instant::now() < limit,
                "still running after the time for a stop"
            );
            task::sleep(Duration::from_millis(50)).await;
        }
    });
}

fn new_version(at: usize) -> TargetSpec {
    TargetSpec {
        id: format!("n-{at}"),
        service: String::from("orders"),
        zone: ["a", "b", "c"][at % 3].to_owned(),
        version: String::from("v2"),
        slots: 3,
        processing_ms: 20,
    }
}

/// Orders a rollout, sends requests until the verdict, and returns it with the part that the new
/// version got.
#[expect(clippy::cast_precision_loss, reason = "counts of requests")]
async fn roll_out(rig: &mut FleetRig, fault: testkit::fleet::TargetFault) -> (String, f64) {
    let old = rig.targets.len();
    for at in 0..old {
        rig.add_target(new_version(at)).await.unwrap();
    }
    for target in &rig.targets[old..] {
        target.set_fault(fault);
    }
    let order = json!({ "service": "orders", "new_version": "v2", "duration_s": 10 });
    rig.store
        .put("keyed.op", "rollout/orders", &order.to_string());
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < Duration::from_secs(11) {
        served(rig, 50).await;
        sent += 50;
        let status = rig
            .store
            .get("keyed.status", "rollout/orders")
            .unwrap_or_default();
        if status.contains("completed") || status.contains("rolled_back") {
            break;
        }
    }
    let new: usize = rig.targets[old..].iter().map(|t| t.arrivals().len()).sum();
    let status = rig
        .store
        .get("keyed.status", "rollout/orders")
        .unwrap_or_default();
    (status, new as f64 / f64::from(sent))
}

/// Guards against good versions that are not done in time, and against two verdicts.
#[test]
fn good_version_is_completed_in_time() {
    task::block_on(async {
        let mut rig = rig(3, 4).await;
        let (status, _) = roll_out(&mut rig, testkit::fleet::TargetFault::None).await;
        assert!(status.contains("completed"), "{status}");
        let history = rig.store.history("keyed.status", "rollout/orders");
        assert_eq!(history.len(), 2, "running and one verdict: {history:?}");
    });
}

/// Guards against a bad version that gets more than a tenth of the requests, or is kept.
#[test]
fn bad_version_is_rolled_back_early() {
    task::block_on(async {
        let mut rig = rig(3, 4).await;
        let (status, part) = roll_out(&mut rig, testkit::fleet::TargetFault::Error).await;
        assert!(status.contains("rolled_back"), "{status}");
        assert!(part < 0.1, "{part}");
    });
}

/// Guards against a configuration that nobody reads because all instances that wait at the store ended.
#[test]
fn configuration_is_in_force_after_its_readers_ended() {
    task::block_on(async {
        let rig = rig(6, 3).await;
        task::sleep(Duration::from_secs(4)).await;
        // Ends the waits that began before the instances knew each other.
        rig.publish(&[]);
        task::sleep(Duration::from_millis(500)).await;
        // Any three of the first five may be the readers; the last one must take over.
        for instance in &rig.instances[..5] {
            instance.signal("KILL").unwrap();
        }
        // Silent instances are forgotten after five beats.
        task::sleep(Duration::from_secs(3)).await;
        let route = json!({ "name": "new", "host": "shop.example", "path_prefix": "/new/",
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 });
        rig.publish(&[route]);
        task::sleep(APPLY).await;
        let mut request = rig.request(false);
        request.path = String::from("/new/1");
        assert_eq!(
            send(rig.instances[5].caller_addr(), &request)
                .await
                .status(),
            200
        );
    });
}

/// Guards against waiting reads that the store took and never answers, also after it is back.
#[test]
fn configuration_is_in_force_after_swallowed_reads() {
    task::block_on(async {
        let rig = rig(4, 3).await;
        task::sleep(Duration::from_secs(2)).await;
        rig.store.set_fault(StoreFault::Silent);
        // Wakes the waiting reads, whose answers are swallowed.
        rig.publish(&[]);
        task::sleep(Duration::from_millis(500)).await;
        rig.store.set_fault(StoreFault::None);
        let route = json!({ "name": "new", "host": "shop.example", "path_prefix": "/new/",
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 });
        rig.publish(&[route]);
        // In touch 3 s after the outage, and 2 s more.
        task::sleep(Duration::from_secs(5)).await;
        for instance in &rig.instances {
            let mut request = rig.request(false);
            request.path = String::from("/new/1");
            assert_eq!(send(instance.caller_addr(), &request).await.status(), 200);
        }
    });
}

/// Instances whose way to the store can be cut one by one.
async fn rig_with_proxies(count: usize) -> (FleetRig, Vec<FleetProxy>) {
    let mut rig = rig(0, 3).await;
    let mut proxies = Vec::new();
    for at in 0..count {
        let proxy = FleetProxy::start(rig.store.addr).await.unwrap();
        let seeds: Vec<_> = rig.instances.iter().take(3).map(|i| i.ip).collect();
        let zone = ["a", "b", "c"][at % 3];
        let instance = GatewayProcess::start(binary(), zone, proxy.addr, &seeds).unwrap();
        rig.instances.push(instance);
        proxies.push(proxy);
    }
    while !rig.all_ready().await {
        task::sleep(Duration::from_millis(50)).await;
    }
    (rig, proxies)
}

/// Guards against configurations that come late because all instances that wait for them are cut off
/// from the store, while the others still hear them.
#[test]
fn configuration_is_in_force_while_waiters_lack_the_store() {
    task::block_on(async {
        let (rig, proxies) = rig_with_proxies(8).await;
        task::sleep(Duration::from_secs(3)).await;
        // The last in the order of the duty is the only one that keeps the store.
        let weight = |at: &usize| {
            let name = format!("edge-{}", rig.instances[*at].ip.octets()[3]);
            model::rendezvous("orders", &name)
        };
        let kept = (0..8).min_by_key(weight).unwrap();
        for (at, proxy) in proxies.iter().enumerate() {
            if at != kept {
                proxy.set_mode(ProxyMode::Silent);
            }
        }
        // Instances are in touch again 3 s after the cut.
        task::sleep(Duration::from_secs(3)).await;
        let route = json!({ "name": "new", "host": "shop.example", "path_prefix": "/new/",
            "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 });
        rig.publish(&[route]);
        task::sleep(APPLY).await;
        for instance in &rig.instances {
            let mut request = rig.request(false);
            request.path = String::from("/new/1");
            let status = send(instance.caller_addr(), &request).await.status();
            assert_eq!(status, 200, "{}", instance.ip);
        }
    });
}
