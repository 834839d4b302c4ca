//! Gateway processes that get a configuration with values that this release cannot read. Guards against
//! a configuration that stays out of force for one value, and against a 404 for a route that exists.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use testkit::fleet::{FleetResult, FleetRig, GatewayProcess, RigSpec, send};

/// Time within which a configuration must be in force at every instance.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a log line must be written.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);

async fn start_rig() -> FleetRig {
    let spec = RigSpec {
        instances: 2,
        targets: 3,
        processing_ms: 10,
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
    FleetRig::start(binary, spec).await.unwrap()
}

async fn get(rig: &FleetRig, instance: &GatewayProcess, path: &str) -> FleetResult {
    let mut request = rig.request(false);
    path.clone_into(&mut request.path);
    send(instance.caller_addr(), &request).await
}

/// Publishes a configuration of this version, whose routes and limits are given as JSON.
fn publish(rig: &FleetRig, version: u64, routes: &str, limits: &str) {
    let config = format!(
        r#"{{"version":"{version:08x}","routes":[{routes}],
        "services":[{{"name":"orders","max_conns":2.4e2,"warmup_per_s":"odd"}},{{"name":7}}],
        "limits":{limits},"later":{}}}"#,
        "[".repeat(20_000) + &"]".repeat(20_000)
    );
    rig.store.put("keyed.op", "config", &config);
}

/// Returns a route with the prefix `/NAME/`, whose other fields are given as JSON.
fn route(name: &str, fields: &str) -> String {
    format!(r#"{{"name":"{name}","host":"shop.example","path_prefix":"/{name}/",{fields}}}"#)
}

const GOOD: &str = r#""kind":"idempotent","timeout_s":1,"service":"orders""#;

/// Guards against one odd value that keeps a configuration out of force, and against routes without a
/// usable service that get a 404 or the requests of which go anywhere.
#[test]
fn odd_values_keep_no_configuration_out_of_force() {
    task::block_on(async {
        let rig = start_rig().await;
        let routes = [
            route("good", GOOD),
            route("no-service", r#""kind":"idempotent","timeout_s":1"#),
            route(
                "bad-weight",
                r#""kind":"idempotent","timeout_s":1,"traffic_split":[{"service":"orders","weight":1e400}]"#,
            ),
            route(
                "halves",
                r#""kind":"idempotent","timeout_s":1,"traffic_split":[{"service":"orders","weight":0.5},{"service":"orders","weight":0.5}]"#,
            ),
            route(
                "odd-fields",
                r#""kind":"unheard","timeout_s":1e400,"aim_s":[],"priority":-1,"attempts":2.5,"service":"orders""#,
            ),
        ];
        let limits = r#"{"max_header_bytes":1.6e4,"max_body_bytes":-5,"idle_timeout_s":"odd"}"#;
        publish(&rig, 0x100, &routes.join(","), limits);
        let start = Instant::now();
        for instance in &rig.instances {
            while get(&rig, instance, "/good/x").await.status() != 200 {
                assert!(start.elapsed() < APPLY_TIMEOUT, "not in force");
                task::sleep(Duration::from_millis(20)).await;
            }
            for path in ["/halves/x", "/odd-fields/x"] {
                assert_eq!(get(&rig, instance, path).await.status(), 200, "{path}");
            }
            for path in ["/no-service/x", "/bad-weight/x"] {
                let response = get(&rig, instance, path).await;
                assert_eq!(response.status(), 503, "{path}");
                assert!(response.header("Retry-After").is_some(), "{path}");
            }
            assert_eq!(get(&rig, instance, "/unknown/x").await.status(), 404);
            for part in [
                "no-service",
                "bad-weight",
                "odd-fields",
                "limits",
                "service orders",
            ] {
                let is_logged = |line: &str| {
                    line.contains("event=config_part_malformed") && line.contains(part)
                };
                // Lines are written in batches.
                let start = Instant::now();
                while !instance.log_text().unwrap().lines().any(is_logged) {
                    assert!(start.elapsed() < LOG_TIMEOUT, "{part} is not logged");
                    task::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
}

/// Guards against a configuration in force whose requests match another route than the one that cannot
/// be placed.
#[test]
fn route_without_place_keeps_earlier_configuration() {
    task::block_on(async {
        let rig = start_rig().await;
        for (version, odd) in [
            (
                0x100,
                r#"{"name":"odd","host":"shop.example","service":"orders"}"#,
            ),
            (0x200, r#"{"name":"odd","host":7,"path_prefix":"/odd/"}"#),
        ] {
            let routes = [route("good", GOOD), odd.to_owned()];
            publish(&rig, version, &routes.join(","), "{}");
        }
        task::sleep(APPLY_TIMEOUT).await;
        for instance in &rig.instances {
            assert_eq!(get(&rig, instance, "/read/x").await.status(), 200);
            assert_eq!(get(&rig, instance, "/good/x").await.status(), 404);
            let log = instance.log_text().unwrap();
            assert_eq!(log.matches("event=order_malformed").count(), 2);
        }
    });
}
