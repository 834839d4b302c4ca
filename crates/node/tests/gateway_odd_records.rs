//! Gateway processes whose store has records that another writer left: deeply nested, with numbers out of
//! range, of another shape, huge, or under keys that do not fit into a URL or a log line. Guards against
//! processes that end by such a record, and against instances that do not follow a topic any more.

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::{Value, json};
use testkit::fleet::{
    FleetRig, FleetStore, FleetTarget, GatewayProcess, RigSpec, TargetSpec, fetch, query_directory,
    send,
};

/// Time within which a good change must be in force at every instance.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an instance must be ready after its start.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which instances that have just started get to know each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How often the odd records are written.
const ROUNDS: usize = 4;
/// Largest resident memory of an instance, in kilobytes. Measured: 10,000 before the odd records and
/// 18,000 with them, in a debug build.
const MAX_MEMORY_KB: u64 = 60_000;
/// Longest log line, in bytes. Lines wait in a queue of 1,024.
const MAX_LINE: usize = 8_192;
/// Largest value of a record that the store takes, in bytes.
const MAX_VALUE: usize = 262_144;

const TARGETS: &str = "keyed.servers";
const OPERATOR: &str = "keyed.op";
const STATUS: &str = "keyed.status";
const INSTANCES: &str = "keyed.hibiscusway.instances";

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hibiscusway"))
}

/// A deployment with one instance that cannot reach the store: it hears of changes only by updates
/// and relayed records of the others.
struct World {
    rig: FleetRig,
    cut_off: GatewayProcess,
}

impl World {
    async fn start() -> Self {
        let spec = RigSpec {
            instances: 3,
            targets: 4,
            processing_ms: 10,
        };
        let rig = FleetRig::start(binary(), spec).await.unwrap();
        rig.publish(&[side_route("side", "/side/")]);
        let cut_off = start_instance(&rig, closed_addr()).await;
        // Until the readers of the entries know each other, nobody tells the instance without a store.
        task::sleep(SETTLE_TIME).await;
        let world = Self { rig, cut_off };
        world.check_targets_followed("before odd records").await;
        world
            .check_orders_followed("first", "before odd records")
            .await;
        world
    }

    fn instances(&self) -> impl Iterator<Item = &GatewayProcess> {
        self.rig.instances.iter().chain([&self.cut_off])
    }

    /// Waits until every instance answers `path` with `status`.
    async fn await_status(&self, path: &str, status: u16, what: &str) {
        let start = Instant::now();
        for instance in self.instances() {
            let mut last = status_of(&self.rig, instance, path).await;
            while last != status {
                assert!(
                    start.elapsed() < APPLY_TIMEOUT,
                    "{what}: {} answers {last} for {path}, not {status}",
                    instance.log_path.display()
                );
                task::sleep(Duration::from_millis(20)).await;
                last = status_of(&self.rig, instance, path).await;
            }
        }
    }

    /// Checks that no process has ended, holds much memory or logs lines that a record has written,
    /// and that the other entries serve.
    async fn check(&mut self, what: &str) {
        self.await_status("/read/x", 200, what).await;
        let cut_off = &mut self.cut_off;
        for instance in self.rig.instances.iter_mut().chain([cut_off]) {
            let status = instance.exit_status().unwrap();
            assert!(
                status.is_none(),
                "{what}: {} ended: {status:?}",
                instance.ip
            );
            let memory = instance.peak_memory_kb().unwrap();
            assert!(memory < MAX_MEMORY_KB, "{what}: {memory} KB");
            for line in instance.log_text().unwrap().split_terminator('\n') {
                let is_line = line.starts_with("instance=") && line.len() <= MAX_LINE;
                assert!(
                    is_line,
                    "{what}: {}",
                    line.chars().take(400).collect::<String>()
                );
            }
        }
    }

    /// Starts the only target of the service `side` and ends it, and checks that every instance follows.
    async fn check_targets_followed(&self, what: &str) {
        let spec = TargetSpec {
            // The key comes after the odd ones in a listing.
            id: String::from("z-side"),
            service: String::from("side"),
            zone: String::from("a"),
            version: String::from("v1"),
            slots: 3,
            processing_ms: 10,
        };
        let target = FleetTarget::start(&self.rig.store, spec).await.unwrap();
        self.await_status("/side/x", 200, what).await;
        target.deregister();
        self.await_status("/side/x", 503, what).await;
    }

    /// Publishes a configuration with a new route and checks that every instance follows.
    async fn check_orders_followed(&self, name: &str, what: &str) {
        let mut route = side_route(name, &format!("/{name}/"));
        route["service"] = json!("orders");
        self.rig.publish(&[side_route("side", "/side/"), route]);
        self.await_status(&format!("/{name}/x"), 200, what).await;
    }
}

/// Returns an address on which nobody listens.
fn closed_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

async fn start_instance(rig: &FleetRig, store: SocketAddr) -> GatewayProcess {
    let seeds: Vec<_> = rig.instances.iter().map(|i| i.ip).collect();
    let instance = GatewayProcess::start(binary(), "a", store, &seeds).unwrap();
    await_ready(&instance).await;
    instance
}

async fn await_ready(instance: &GatewayProcess) {
    let start = Instant::now();
    let request = b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n";
    while fetch(instance.ready_addr(), "GET", request).await.status() != 200 {
        let log = instance.log_path.display();
        assert!(start.elapsed() < START_TIMEOUT, "{log}: not ready");
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn status_of(rig: &FleetRig, instance: &GatewayProcess, path: &str) -> u16 {
    let mut request = rig.request(false);
    path.clone_into(&mut request.path);
    send(instance.caller_addr(), &request).await.status()
}

fn side_route(name: &str, prefix: &str) -> Value {
    json!({ "name": name, "host": "shop.example", "path_prefix": prefix, "kind": "idempotent",
        "timeout_s": 1, "service": "side", "attempts": 1 })
}

/// Returns the entry of a target that no route leads to.
fn unused_entry() -> Value {
    json!({ "service": "nowhere", "address": closed_addr().to_string(), "zone": "a",
        "version": "v1", "slots": 3, "state": "ready", "warmup_left_s": 0, "seq": 1, "born": 7 })
}

/// Returns values that are odd in every topic.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let objects = r#"{"a":"#.repeat(40_000);
    let long = format!(r#"{{"state":"{}"}}"#, "x".repeat(MAX_VALUE - 20));
    let spaces = format!("{}x", " ".repeat(MAX_VALUE - 1));
    let texts = [
        &*nested,
        &objects,
        &long,
        &spaces,
        "[]",
        "{}",
        "null",
        "7",
        "1e400",
        "-1",
        "99999999999999999999",
        "\"text\"",
        "{",
        "not JSON",
        r#""\ud800""#,
        r#"{"a":1e400}"#,
        r#"[{"service":"orders"}]"#,
    ];
    let mut values: Vec<Vec<u8>> = texts.iter().map(|t| t.as_bytes().to_vec()).collect();
    values.push(vec![0xff, 0xfe, 0x00]);
    values.push(b"{\"state\":\"\xff\"}".to_vec());
    values
}

/// Returns `example` with one field after the other replaced by odd values, or missing.
fn odd_fields(example: &Value) -> Vec<Vec<u8>> {
    let long = format!("\"{}\"", "x".repeat(MAX_VALUE - 1_000));
    let nested = "[".repeat(1_000) + &"]".repeat(1_000);
    let odd = [
        "1e400",
        "99999999999999999999",
        "-3",
        "-99999999999999999999",
        "0.5",
        "[]",
        "{}",
        "null",
        "true",
        "\"\"",
        "\"127.0.0.1:99999\"",
        "\"127.0.0.1:0\"",
        "\"a\\nb\\u0000\"",
        &long,
        &nested,
    ];
    let fields = example.as_object().unwrap();
    let mut values = Vec::new();
    for name in fields.keys() {
        let mut rest = fields.clone();
        rest.remove(name);
        let rest = Value::from(rest).to_string();
        values.push(rest.clone().into_bytes());
        let odd = odd.iter().map(|value| {
            let separator = if rest == "{}" { "" } else { "," };
            format!("{{\"{name}\":{value}{separator}{}", &rest[1..]).into_bytes()
        });
        values.extend(odd);
    }
    values
}

/// Returns keys that do not fit into a URL, a header or a log line.
fn odd_keys() -> Vec<Vec<u8>> {
    let long = "k".repeat(255);
    let texts = [
        "",
        &long,
        "k a b",
        "k&topic=other",
        "k%",
        "k%41%",
        "k/b/c",
        "k\nlevel=error event=stopped",
        "k\r\nX-Other: 1",
        "k+#?=\"'\\",
        "k\u{e9}\u{1f600}",
        "k\0",
    ];
    let mut keys: Vec<Vec<u8>> = texts.iter().map(|t| t.as_bytes().to_vec()).collect();
    keys.push(vec![b'k', 0xff, 0xfe]);
    keys.push(vec![0xff; 255]);
    keys
}

/// Writes all odd records into `topic`. `prefix` precedes the keys of those with odd values, and
/// `example` is a value that the topic may have.
fn write_odd(store: &FleetStore, topic: &str, prefix: &str, example: &Value) {
    let values = odd_values().into_iter().chain(odd_fields(example));
    for (index, value) in values.enumerate() {
        store.put_bytes(topic, format!("{prefix}{index}").as_bytes(), &value);
    }
    for key in odd_keys() {
        store.put_bytes(topic, &key, b"{");
        let key: Vec<u8> = prefix.bytes().chain(key).take(255).collect();
        store.put_bytes(topic, &key, example.to_string().as_bytes());
    }
    // A key that is shorter than its length says, and no key at all.
    store.put_record(topic, &[9, b'k']);
    store.put_record(topic, &[]);
}

/// Odd items of a listing, which have no readable key, value or offset.
const ODD_ITEMS: [&str; 9] = [
    "null",
    "[]",
    "1e400",
    r#"{"key":7,"value":"e30=","offset":1}"#,
    r#"{"key":"odd-item-1","value":"*","offset":1}"#,
    r#"{"key":"odd-item-2","value":"e30=","offset":-1}"#,
    r#"{"key":"odd-item-3","value":"e30=","offset":1e400}"#,
    r#"{"key":"odd-item-4","offset":1}"#,
    r#"{"key":"odd-item-5","value":[[[[{"a":1e999}]]]],"offset":99999999999999999999}"#,
];

/// Writes so many records with odd keys that a listing has several pages, each of which ends with one.
fn fill_pages(store: &FleetStore, topic: &str) {
    for index in 0..1_200 {
        store.put(topic, &format!("k {index}&after=%zz+/#"), "{");
    }
}

/// Guards against an odd entry of a target that ends a process, keeps instances from following the
/// entries, or takes other targets out: in reads, listings, snapshots and updates.
#[test]
fn odd_entries_of_targets_stop_nothing() {
    task::block_on(async {
        let mut world = World::start().await;
        let entry = unused_entry();
        for round in 0..ROUNDS {
            let what = format!("round {round}");
            write_odd(&world.rig.store, TARGETS, "odd-", &entry);
            world.check_targets_followed(&what).await;
            world.check(&what).await;
        }
        let joined = start_instance(&world.rig, world.rig.store.addr).await;
        assert_eq!(status_of(&world.rig, &joined, "/read/x").await, 200);
        world.rig.store.set_odd_items(TARGETS, &ODD_ITEMS);
        fill_pages(&world.rig.store, TARGETS);
        for round in 0..2 {
            let what = format!("listing {round}");
            world.rig.store.discard_records(TARGETS);
            world.check_targets_followed(&what).await;
            world.check(&what).await;
        }
    });
}

/// Guards against an odd record of the operator that ends a process, keeps instances from following the
/// records, or takes the configuration out of force: in reads, relayed reads, listings, snapshots.
#[test]
fn odd_records_of_operator_stop_nothing() {
    task::block_on(async {
        let mut world = World::start().await;
        let order = json!({ "service": "nowhere", "new_version": "v2", "duration_s": 3 });
        for round in 0..ROUNDS {
            let what = format!("round {round}");
            write_odd(&world.rig.store, OPERATOR, "rollout/nowhere-", &order);
            write_odd(&world.rig.store, OPERATOR, "evacuate/nowhere-", &json!({}));
            for value in odd_values() {
                world.rig.store.put_bytes(OPERATOR, b"config", &value);
            }
            world.check(&what).await;
            world
                .check_orders_followed(&format!("new{round}"), &what)
                .await;
        }
        // An instance that starts gets the configuration in force, not only the unreadable one.
        world.rig.store.put(OPERATOR, "config", "{");
        task::sleep(Duration::from_millis(300)).await;
        let joined = start_instance(&world.rig, world.rig.store.addr).await;
        assert_eq!(status_of(&world.rig, &joined, "/read/x").await, 200);
        world.rig.store.set_odd_items(OPERATOR, &ODD_ITEMS);
        fill_pages(&world.rig.store, OPERATOR);
        world.rig.store.discard_records(OPERATOR);
        world.check("listing").await;
        world.check_orders_followed("listed", "listing").await;
    });
}

/// Guards against a record without a readable key that an instance cut off from the store cannot get
/// past, since a relay leaves it out.
#[test]
fn unreadable_key_is_passed_on_to_instance_without_store() {
    task::block_on(async {
        let world = World::start().await;
        for round in 0..ROUNDS {
            let what = format!("round {round}");
            world.rig.store.put_bytes(OPERATOR, &[0xff], b"{}");
            task::sleep(Duration::from_millis(600)).await;
            world.rig.store.put_record(OPERATOR, &[9, b'k']);
            world
                .check_orders_followed(&format!("new{round}"), &what)
                .await;
        }
    });
}

/// Guards against odd records among the verdicts that keep instances from recording their own.
#[test]
fn odd_verdicts_stop_no_rollout() {
    task::block_on(async {
        let mut world = World::start().await;
        let store = world.rig.store.clone();
        let verdict = json!({ "state": "running", "new_version": "v2", "order": 0, "era": 1 });
        store.set_odd_items(STATUS, &ODD_ITEMS);
        fill_pages(&store, STATUS);
        for round in 0..ROUNDS {
            let what = format!("round {round}");
            write_odd(&store, STATUS, "rollout/odd-", &verdict);
            let version = format!("v{}", round + 2);
            let order = json!({ "service": "orders", "new_version": version, "duration_s": 20 });
            store.put(OPERATOR, "rollout/orders", &order.to_string());
            let is_recorded = || {
                let recorded = store.get(STATUS, "rollout/orders");
                recorded.is_some_and(|text| text.contains(&format!("\"{version}\"")))
            };
            let start = Instant::now();
            while !is_recorded() {
                assert!(start.elapsed() < APPLY_TIMEOUT, "{what}: no state recorded");
                task::sleep(Duration::from_millis(20)).await;
            }
            world.check(&what).await;
        }
    });
}

/// Guards against odd announcements of instances that keep those without seeds from finding each other.
#[test]
fn odd_announcements_hide_no_instance() {
    task::block_on(async {
        let mut world = World::start().await;
        let store = world.rig.store.clone();
        let announcement = json!({ "name": "odd", "boot": 1, "zone": "a",
            "front": closed_addr().to_string(), "peer": closed_addr().to_string() });
        write_odd(&store, INSTANCES, "odd-", &announcement);
        store.set_odd_items(INSTANCES, &ODD_ITEMS);
        fill_pages(&store, INSTANCES);
        let mut alone = Vec::new();
        for _ in 0..2 {
            alone.push(GatewayProcess::start(binary(), "a", store.addr, &[]).unwrap());
        }
        let start = Instant::now();
        for instance in &alone {
            await_ready(instance).await;
            let directory = instance.directory_addr();
            while query_directory(directory, "shop.example", "a").await.len() < 2 {
                let log = instance.log_path.display();
                assert!(
                    start.elapsed() < Duration::from_secs(8),
                    "{log}: finds nobody"
                );
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        world.check("announcements").await;
    });
}
