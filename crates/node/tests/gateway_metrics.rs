//! The metrics of a gateway process are those that the documentation lists.

use std::{collections::BTreeSet, path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{FleetResult, FleetRig, RigSpec, TargetFault, fetch, query_directory, send};

/// Names in the table of the page's section on the gateway.
fn documented() -> BTreeSet<String> {
    let page = include_str!("../../../docs/metrics.md");
    let (_, section) = page.split_once("## Gateway").unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split(" | ").next());
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names.map(str::to_owned).collect()
}

async fn served(rig: &FleetRig) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for instance in &rig.instances {
        let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
        let FleetResult::Response(response) = fetch(instance.metrics_addr(), "GET", request).await
        else {
            panic!("no metrics");
        };
        let text = String::from_utf8(response.body).unwrap();
        for line in text.lines() {
            let name = line.split('{').next().unwrap();
            names.insert(name.strip_prefix("hibiscusway_").unwrap().to_owned());
        }
    }
    names
}

/// Guards against a page that lists what no instance serves. Probes over the budget and second sends
/// need an overload that this test does not make.
#[test]
fn metrics_page_and_program_agree() {
    task::block_on(async {
        let spec = RigSpec {
            instances: 2,
            targets: 3,
            processing_ms: 10,
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
        let rig = FleetRig::start(binary, spec).await.unwrap();
        rig.send_many(20, Duration::from_millis(5)).await;
        for fault in [TargetFault::Shed, TargetFault::Mute] {
            for target in &rig.targets {
                target.set_fault(fault);
            }
            send(rig.instances[0].caller_addr(), &rig.request(false)).await;
        }
        for instance in &rig.instances {
            query_directory(instance.directory_addr(), "shop.example", "a").await;
        }
        let (page, program) = (documented(), served(&rig).await);
        let missing: Vec<_> = program.difference(&page).collect();
        assert!(missing.is_empty(), "not on the page: {missing:?}");
        let mut unknown: Vec<_> = page.difference(&program).map(String::as_str).collect();
        unknown.retain(|name| !["probes_over_budget_total", "hedges_total"].contains(name));
        assert!(unknown.is_empty(), "not served: {unknown:?}");
    });
}
