//! Checks that a gateway process serves the metrics that the documentation lists, and no others.

use std::{collections::BTreeSet, path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{FleetResult, FleetRig, RigSpec, TargetFault, fetch, query_directory, send};

/// Returns the names of metrics in the gateway section of the documentation page.
fn documented_names() -> BTreeSet<String> {
    let page = include_str!("../../../docs/metrics.md");
    let (_, section) = page.split_once("## Gateway").unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split(" | ").next());
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names.map(str::to_owned).collect()
}

/// Returns the names of the metrics that the instances serve, without their common prefix.
async fn served_names(rig: &FleetRig) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for instance in &rig.instances {
        let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
        let FleetResult::Response(response) = fetch(instance.metrics_addr(), "GET", request).await
        else {
            panic!("{} serves no metrics", instance.ip);
        };
        let text = String::from_utf8(response.body).unwrap();
        for line in text.lines() {
            let name = line.split('{').next().unwrap();
            names.insert(name.strip_prefix("hibiscusway_").unwrap().to_owned());
        }
    }
    names
}

/// Crashes targets until the request that does so is refused, and waits until they are back.
async fn crash_targets(rig: &FleetRig) {
    for target in &rig.targets {
        target.set_outage(Duration::from_millis(300));
    }
    for _ in 0..8 {
        let mut request = rig.request(false);
        request.path = String::from("/read/crash/1");
        send(rig.instances[0].caller_addr(), &request).await;
        task::sleep(Duration::from_millis(200)).await;
    }
    task::sleep(Duration::from_millis(1_200)).await;
}

/// Makes instances look for others that reach the targets while none does.
async fn forward_in_vain(rig: &FleetRig) {
    for target in &rig.targets {
        target.set_outage(Duration::from_millis(500));
        target.crash();
    }
    task::sleep(Duration::from_millis(50)).await;
    rig.send_many(20, Duration::from_millis(5)).await;
    task::sleep(Duration::from_millis(1_500)).await;
}

/// Guards against metrics that are served but not documented, or documented but not served. The
/// metrics of probes over the budget and of hedges appear only under an overload that this test
/// does not cause; `gateway_hedging.rs` checks those of hedges, and `gateway_returns.rs` those of the
/// return order.
#[test]
fn served_metrics_match_documentation() {
    task::block_on(async {
        let spec = RigSpec {
            instances: 2,
            targets: 3,
            processing_ms: 10,
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
        let rig = FleetRig::start(binary, spec).await.unwrap();
        crash_targets(&rig).await;
        forward_in_vain(&rig).await;
        rig.targets[0].set_limit(Some("0.5"));
        rig.send_many(20, Duration::from_millis(5)).await;
        rig.targets[1].set_retry_after(Some("0.1"));
        rig.send_many(20, Duration::from_millis(5)).await;
        rig.targets[1].set_retry_after(None);
        rig.targets[2].set_leaving(Some("1"));
        rig.send_many(20, Duration::from_millis(5)).await;
        task::sleep(Duration::from_millis(200)).await;
        for fault in [TargetFault::Shed, TargetFault::Mute] {
            for target in &rig.targets {
                target.set_fault(fault);
            }
            send(rig.instances[0].caller_addr(), &rig.request(false)).await;
        }
        for instance in &rig.instances {
            query_directory(instance.directory_addr(), "shop.example", "a").await;
        }
        let (documented, served) = (documented_names(), served_names(&rig).await);
        let undocumented: Vec<_> = served.difference(&documented).collect();
        assert!(
            undocumented.is_empty(),
            "served but not documented: {undocumented:?}"
        );
        let mut unserved: Vec<_> = documented.difference(&served).map(String::as_str).collect();
        unserved.retain(|name| {
            !["probes_over_budget_total", "sends_held_total"].contains(name)
                && !name.starts_with("hedge")
                && !name.starts_with("returns_")
        });
        assert!(
            unserved.is_empty(),
            "documented but not served: {unserved:?}"
        );
    });
}
