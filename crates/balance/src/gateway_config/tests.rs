use super::*;
use crate::WeightedService;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
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

fn config(routes: Vec<Route>) -> GatewayConfig {
    GatewayConfig::new(1, CallerLimits::default(), [], routes)
}

#[test]
fn route_longest_prefix_wins() {
    let config = config(vec![route("a", "h", "/x/"), route("b", "h", "/x/y/")]);
    assert_eq!(&*config.route("h", "/x/y/z").unwrap().name, "b");
    assert_eq!(&*config.route("h", "/x/yy/z").unwrap().name, "a");
}

#[test]
fn route_needs_whole_segments() {
    let config = config(vec![route("a", "h", "/x/")]);
    assert!(
        config.route("h", "/x").is_none(),
        "the path lacks the slash that ends the prefix"
    );
    assert!(config.route("h", "/xy/").is_none());
    assert!(config.route("other", "/x/").is_none());
}

#[test]
fn route_root_prefix_matches_all() {
    let config = config(vec![route("a", "h", "/")]);
    assert!(config.route("h", "/").is_some());
    assert!(config.route("h", "/deep/er").is_some());
}
