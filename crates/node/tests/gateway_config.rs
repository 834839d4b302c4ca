//! Configurations at instances that cannot rely on the ones that wait for them at the store: these
//! have ended, hang on reads without a response, or are out of reach.

use std::{
    net::Ipv4Addr,
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::json;
use testkit::fleet::{FleetRig, GatewayProcess, ProxyMode, RigSpec, StoreFault, send};

/// Time within which the platform requires a configuration to be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a disturbance from which the platform requires that.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time in which the instances of a rig find each other.
const SETTLE_TIME: Duration = Duration::from_secs(4);

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hibiscusway"))
}

async fn start_rig(instances: usize) -> FleetRig {
    let spec = RigSpec {
        instances,
        targets: 3,
        processing_ms: 20,
    };
    FleetRig::start(binary(), spec).await.unwrap()
}

/// Returns a route to the service `orders` with its name as path.
fn extra_route(name: &str) -> serde_json::Value {
    json!({ "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
        "kind": "idempotent", "timeout_s": 1, "service": "orders", "attempts": 2 })
}

/// Sends a request on the route `name` to an instance and returns the status of the response.
async fn status_of(rig: &FleetRig, instance: &GatewayProcess, name: &str) -> u16 {
    let mut request = rig.request(false);
    request.path = format!("/{name}/1");
    send(instance.caller_addr(), &request).await.status()
}

/// Returns the instances that do not serve the route `name`.
async fn without_route(rig: &FleetRig, name: &str) -> Vec<Ipv4Addr> {
    let mut missing = Vec::new();
    for instance in &rig.instances {
        if status_of(rig, instance, name).await != 200 {
            missing.push(instance.ip);
        }
    }
    missing
}

/// Returns the indices of the instances in the order of their rank for collecting reports, which
/// those that wait at the store also do. All have equal links and reach the store.
fn by_rank(rig: &FleetRig) -> Vec<usize> {
    let weight = |index: &usize| {
        let name = format!("edge-{}", rig.instances[*index].ip.octets()[3]);
        std::cmp::Reverse(model::rendezvous(balance::COLLECT, &name))
    };
    let mut order: Vec<usize> = (0..rig.instances.len()).collect();
    order.sort_by_key(weight);
    let mut zone_counts = std::collections::BTreeMap::<&str, usize>::new();
    let mut ranked = Vec::new();
    for index in order {
        let zone_rank = zone_counts.entry(&rig.instances[index].zone).or_default();
        ranked.push((*zone_rank, index));
        *zone_rank += 1;
    }
    ranked.sort_by_key(|(zone_rank, _)| *zone_rank);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Guards against a configuration that is applied late because all instances that long-poll the
/// store have lost it, while the other instances still receive their digests and do not take over.
#[test]
fn configuration_is_applied_while_long_pollers_lack_the_store() {
    task::block_on(async {
        let (rig, proxies) = FleetRig::start_with_proxies(binary(), 8).await.unwrap();
        task::sleep(CONTACT_TIME).await;
        // Only the instance that ranks last for the duty of long polls can reach the store.
        let connected = *by_rank(&rig).last().unwrap();
        for (index, proxy) in proxies.iter().enumerate() {
            if index != connected {
                proxy.set_mode(ProxyMode::Silent);
            }
        }
        // The platform allows 3 s until the instances are connected again after the cut.
        task::sleep(CONTACT_TIME).await;
        rig.publish(&[extra_route("new")]);
        task::sleep(APPLY_TIMEOUT).await;
        assert_eq!(without_route(&rig, "new").await, [] as [Ipv4Addr; 0]);
    });
}

/// Guards against an instance that reaches the store and relies on others whose reads the store
/// accepts and never answers. It was not disturbed, so the change must be in force there in time.
#[test]
fn configuration_is_applied_while_reads_of_others_hang() {
    task::block_on(async {
        let (rig, proxies) = FleetRig::start_with_proxies(binary(), 12).await.unwrap();
        task::sleep(SETTLE_TIME).await;
        let connected = *by_rank(&rig).last().unwrap();
        for (index, proxy) in proxies.iter().enumerate() {
            if index != connected {
                proxy.set_mode(ProxyMode::Silent);
            }
        }
        rig.publish(&[extra_route("new")]);
        task::sleep(APPLY_TIMEOUT).await;
        let status = status_of(&rig, &rig.instances[connected], "new").await;
        assert_eq!(status, 200);
    });
}

/// Guards against an instance that hears none of the others and takes the configuration that it has
/// for the newest one, although it reaches the store.
#[test]
fn configuration_is_applied_by_instance_without_peers() {
    task::block_on(async {
        let rig = start_rig(16).await;
        task::sleep(SETTLE_TIME).await;
        let last = *by_rank(&rig).last().unwrap();
        for (index, instance) in rig.instances.iter().enumerate() {
            if index != last {
                instance.signal("STOP").unwrap();
            }
        }
        for name in ["first", "second", "third"] {
            rig.publish(&[extra_route(name)]);
            task::sleep(APPLY_TIMEOUT).await;
            let status = status_of(&rig, &rig.instances[last], name).await;
            assert_eq!(status, 200, "{name}");
        }
    });
}

/// Guards against instances that count as cut off from the store, one after the other, because each
/// uses a connection that went silent while it was idle, although new connections work.
#[test]
fn configuration_is_applied_after_open_connections_went_silent() {
    task::block_on(async {
        let (rig, proxies) = FleetRig::start_with_proxies(binary(), 9).await.unwrap();
        task::sleep(SETTLE_TIME).await;
        for round in 0..3 {
            for proxy in &proxies {
                proxy.silence_open();
            }
            // All instances count as undisturbed `CONTACT_TIME` after that, and the change is older
            // than `APPLY_TIMEOUT` by then.
            let name = format!("round{round}");
            rig.publish(&[extra_route(&name)]);
            task::sleep(CONTACT_TIME).await;
            assert_eq!(without_route(&rig, &name).await, [] as [Ipv4Addr; 0]);
        }
    });
}

/// Guards against a 404 for a route that may have been added since an instance last heard from the
/// store: it does not know that the route does not exist, and the caller would not try again.
#[test]
fn unknown_route_of_outdated_configuration_is_no_404() {
    task::block_on(async {
        let (rig, proxies) = FleetRig::start_with_proxies(binary(), 3).await.unwrap();
        task::sleep(SETTLE_TIME).await;
        for instance in &rig.instances {
            assert_eq!(status_of(&rig, instance, "new").await, 404);
        }
        rig.store.set_fault(StoreFault::Silent);
        for proxy in &proxies {
            proxy.set_mode(ProxyMode::Silent);
        }
        task::sleep(CONTACT_TIME).await;
        for instance in &rig.instances {
            let start = Instant::now();
            assert_eq!(status_of(&rig, instance, "new").await, 503);
            assert!(start.elapsed() < Duration::from_millis(300));
            assert_eq!(status_of(&rig, instance, "read").await, 200);
        }
        rig.store.set_fault(StoreFault::None);
        for proxy in &proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        task::sleep(CONTACT_TIME).await;
        for instance in &rig.instances {
            assert_eq!(status_of(&rig, instance, "new").await, 404);
        }
    });
}

/// Guards against an instance that the store does not answer and that gets each configuration late, because
/// it waits for the store after every peer that has the configuration but not the records before it.
#[test]
fn configuration_is_applied_from_peers_without_earlier_records() {
    task::block_on(async {
        let (mut rig, proxies) = FleetRig::start_with_proxies(binary(), 8).await.unwrap();
        task::sleep(SETTLE_TIME).await;
        let cut_off = *by_rank(&rig).last().unwrap();
        proxies[cut_off].set_mode(ProxyMode::Silent);
        rig.instances[cut_off].signal("STOP").unwrap();
        rig.publish(&[extra_route("missed")]);
        task::sleep(CONTACT_TIME).await;
        // The others list the store's records when they start, and relay only what they read later.
        let others = || (0..proxies.len()).filter(|index| *index != cut_off);
        for index in others() {
            rig.instances[index].signal("KILL").unwrap();
        }
        for index in others() {
            rig.instances[index].restart().unwrap();
        }
        task::sleep(SETTLE_TIME).await;
        rig.instances[cut_off].signal("CONT").unwrap();
        task::sleep(CONTACT_TIME).await;
        let routes = [extra_route("new")];
        let applying = rig.longest_apply(&rig.instances[cut_off], &routes, APPLY_TIMEOUT);
        let longest = applying.await.unwrap();
        assert!(longest < APPLY_TIMEOUT, "{longest:?}");
        let status = status_of(&rig, &rig.instances[cut_off], "unknown").await;
        assert_eq!(status, 404, "the configuration is known to be current");
    });
}
