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

/// Guards against routes of a service that count as less urgent because of a route of another one.
#[test]
fn urgency_rank_compares_routes_of_service() {
    let other = ServiceName::new("other");
    let mut urgent = route("a", "h", "/a/");
    urgent.priority = 0;
    urgent.split[0].service = other.clone();
    let mut bulk = route("c", "h", "/c/");
    bulk.priority = 2;
    let (middle, service) = (route("b", "h", "/b/"), ServiceName::new("s"));
    let config = config(vec![urgent.clone(), middle.clone(), bulk.clone()]);
    assert_eq!(config.urgency_rank(&urgent, &other), 0);
    assert_eq!(config.urgency_rank(&middle, &service), 0);
    assert_eq!(config.urgency_rank(&bulk, &service), 1);
}
