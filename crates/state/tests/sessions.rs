//! Compares whole simulated sessions with golden files that have one line for each event. They guard
//! against changes of behaviour that no unit test checks.

mod support;

use model::Time;
use support::{Fault, Fleet, Node, document, instance, move_id};
use wire::Body;

const DEADLINE_MS: u64 = 60_000;

/// Returns a fleet whose service starts a move to v2 with a deadline one minute after the start.
fn moving(fault: Fault, size: usize) -> Fleet {
    let mut fleet = Fleet::new(size, 7);
    fleet.fault = fault;
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(5_000);
    fleet.publish_config("p-2", 1, &document(&[("v2", DEADLINE_MS)]));
    fleet
}

fn check_move(name: &str, fault: Fault) {
    let mut fleet = moving(fault, 16);
    fleet.run_until_decided(DEADLINE_MS + 5_000);
    insta::assert_snapshot!(name, fleet.trace.join("\n"));
}

#[test]
fn session_good_move() {
    check_move("good_move", Fault::None);
}

#[test]
fn session_errors_at_once() {
    check_move("errors_at_once", Fault::Errors);
}

#[test]
fn session_slow_at_once() {
    check_move("slow_at_once", Fault::Slow);
}

#[test]
fn session_errors_later() {
    check_move("errors_later", Fault::ErrorsAfter(20_000));
}

#[test]
fn session_slow_under_load() {
    check_move("slow_under_load", Fault::SlowFromShare(2_000));
}

#[test]
fn session_errors_on_one_route() {
    check_move("errors_on_one_route", Fault::ErrorsOnRoute(100));
}

#[test]
fn session_ordinary_day() {
    let mut fleet = Fleet::new(3, 1);
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(1_000);
    fleet.publish_config("p-2", 1, "[[service]]\nname = \"orders\"\nweight = 3\n");
    fleet.publish_config("p-3", 1, &document(&[]).replace("= 60", "= 80"));
    fleet.publish_config("p-3", 1, &document(&[]).replace("= 60", "= 80"));
    let body = Body::Config {
        tenant: "rival".into(),
        base: 0,
        text: document(&[]),
    };
    fleet.publish("p-4", body);
    fleet.run_ms(1_000);
    let base = fleet.nodes[0].state.fold().tenants[&"sacaria".into()].revision;
    fleet.publish_config("p-5", base, &document(&[("v2", 30_000)]));
    fleet.run_ms(2_000);
    fleet.publish_config("p-6", base + 3, &document(&[("v3", 40_000)]));
    fleet.publish_config("p-7", base + 3, &document(&[]));
    fleet.run_ms(1_000);
    insta::assert_snapshot!("ordinary_day", fleet.trace.join("\n"));
}

#[test]
fn session_store_outage_and_publish_race() {
    let mut fleet = moving(Fault::Slow, 4);
    fleet.run_ms(500);
    fleet.add_trace("log down");
    fleet.log_up = false;
    fleet.run_ms(8_000);
    // Two operators publish against the same revision while the log is unavailable.
    let text = document(&[("v2", DEADLINE_MS)]);
    fleet.publish_config("p-3", 2, &text.replace("= 60", "= 70"));
    fleet.publish_config("p-4", 2, &text.replace("= 60", "= 80"));
    fleet.add_trace("log up");
    fleet.log_up = true;
    fleet.run_ms(3_000);
    insta::assert_snapshot!("store_outage", fleet.trace.join("\n"));
}

#[test]
fn session_lost_append_answers() {
    let mut fleet = moving(Fault::None, 16);
    fleet.responses_lost = true;
    fleet.run_until_decided(DEADLINE_MS + 5_000);
    insta::assert_snapshot!("lost_append_answers", fleet.trace.join("\n"));
}

#[test]
fn session_zone_out_and_back() {
    let mut fleet = Fleet::new(3, 1);
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(1_000);
    let zone = |base, out| Body::Zone {
        zone: "sk-central-b".into(),
        base,
        out,
    };
    for (id, base, out) in [("z-1", 0, true), ("z-2", 0, true), ("z-3", 2, false)] {
        fleet.publish(id, zone(base, out));
        fleet.run_ms(500);
        let view = &fleet.nodes[0].views.services[&"orders".into()];
        let states = view.targets.iter().filter(|t| t.version.as_str() == "v1");
        let states = states.map(|t| format!("{} {:?} of {}", t.id, t.state, t.owner));
        let line = states.collect::<Vec<_>>().join("; ");
        fleet.add_trace(&line);
    }
    insta::assert_snapshot!("zone_out_and_back", fleet.trace.join("\n"));
}

#[test]
fn session_all_instances_replaced() {
    let mut fleet = moving(Fault::None, 16);
    fleet.run_ms(15_000);
    fleet.add_trace("all instances replaced");
    let now = fleet.now;
    let nodes = (0..16).map(|n| Node::new(instance(n, 2), now));
    fleet.nodes = nodes.collect();
    fleet.list.entries.retain(|e| e.peer.is_none());
    fleet.list.entries.extend((0..16).map(|n| instance(n, 2)));
    fleet.list.version += 1;
    fleet.run_until_decided(DEADLINE_MS + 5_000);
    assert!(fleet.now < Time::from_ms(DEADLINE_MS));
    let id = move_id("v2", DEADLINE_MS);
    assert!(fleet.nodes[15].state.fold().find_move(&id).is_some());
    insta::assert_snapshot!("all_instances_replaced", fleet.trace.join("\n"));
}
