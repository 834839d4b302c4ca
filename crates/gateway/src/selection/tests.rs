use balance::TargetEntry;
use model::{Version, Zone};

use super::*;
use crate::example::state;

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        split: vec![],
        idempotent: true,
        max_attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
    }
}

fn put(state: &State, id: &str, zone: &str) {
    let entry = TargetEntry {
        id: TargetId::new(id),
        service: ServiceName::new("s"),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: Zone::new(zone),
        version: Version::new("v1"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born: 1,
    };
    state.targets.borrow_mut().put(entry, state.now());
}

/// Guards against large responses from other zones, whose traffic costs more than the response
/// earns.
#[test]
fn cost_of_other_zone_grows_with_response() {
    let state = state(1_000.0);
    put(&state, "near", "a");
    put(&state, "far", "b");
    let (service, route) = (ServiceName::new("s"), route());
    let criteria = Criteria {
        service: &service,
        route: &route,
        new_version: false,
        urgency_rank: 0,
        may_be_limited: true,
        tried: &[],
    };
    let gap_ms = || {
        let targets = state.targets.borrow();
        let costs = CostModel::of(&state, &criteria, &targets);
        let cost = |id| costs.cost(&state, targets.get(&TargetId::new(id)).unwrap());
        cost("far") - cost("near")
    };
    assert!((gap_ms() - CROSS_ZONE_MS).abs() < 1e-9);
    state.response_sizes.borrow_mut().record(&route, 90_000);
    assert!((gap_ms() - CROSS_ZONE_MS - 90.0 * CROSS_ZONE_MS_PER_KB).abs() < 1e-9);
}

/// Guards against a second round that probes any of hundreds of targets, each over a new
/// connection.
#[test]
fn preferred_targets_stay_the_same() {
    let state = state(1_000.0);
    for at in 0..200 {
        put(&state, &format!("t{at}"), ["a", "b", "c"][at % 3]);
    }
    let targets = state.targets.borrow();
    let ids = |is_first| {
        let all = targets.all().collect();
        let mut ids: Vec<&str> = preferred(&state, all, is_first)
            .iter()
            .map(|t| t.entry.id.as_str())
            .collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(
        (ids(true).len(), ids(false).len()),
        (MAX_PREFERRED, MAX_PREFERRED_LATER)
    );
    assert_eq!(ids(false), ids(false));
}
