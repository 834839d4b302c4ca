use super::*;
use crate::WeightedService;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        split: vec![WeightedService {
            service: ServiceName::new("s"),
            weight: 1,
        }],
        idempotent: true,
        max_attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 250,
        priority: 1,
    }
}

fn manifest(routes: Vec<Route>) -> GatewayConfig {
    GatewayConfig::new(1, CallerLimits::default(), [], routes)
}

#[test]
fn route_longest_prefix_wins() {
    let m = manifest(vec![route("a", "h", "/x/"), route("b", "h", "/x/y/")]);
    assert_eq!(&*m.route("h", "/x/y/z").unwrap().name, "b");
    assert_eq!(&*m.route("h", "/x/yy/z").unwrap().name, "a");
}

#[test]
fn route_needs_whole_segments() {
    let m = manifest(vec![route("a", "h", "/x/")]);
    assert!(m.route("h", "/x").is_none(), "a prefix without its slash");
    assert!(m.route("h", "/xy/").is_none());
    assert!(m.route("other", "/x/").is_none());
}

#[test]
fn route_root_prefix_matches_all() {
    let m = manifest(vec![route("a", "h", "/")]);
    assert!(m.route("h", "/").is_some());
    assert!(m.route("h", "/deep/er").is_some());
}
