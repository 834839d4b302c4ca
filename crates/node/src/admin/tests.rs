//! Tests of the administration server over TCP, with a simulated control thread. They guard against
//! operators who read or change data of other tenants, against error responses without a result
//! code, and against clients that block the server.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use async_std::{
    channel::{Receiver, unbounded},
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use http_types::Method;
use model::{Code, Settings, Tenant, Version, Wall};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use socket2::{Domain, Socket, Type};
use store::{HttpRequest, exchange};
use wire::{AuditEntry, Body, ConfigAnswer, MoveStatus, ProposalAnswer, Record, Status};

use crate::{
    Token,
    admin::serve_admin,
    context::Context,
    control::{AdminRequest, ControlEvent, StatusReply},
};

const ORDERS: &str = "[[service]]\nname = \"orders\"\nversion = \"v1\"\n[[service.class]]\nname = \
                      \"confirmation\"\ntarget_ms = 60\ndelay_ms = 20\nidempotent = false\n";
const OPERATORS: [(&str, &str); 5] = [
    ("lemovka", "read"),
    ("lemovka", "publish"),
    ("sacaria", "read"),
    ("sacaria", "publish"),
    ("", "platform"),
];

/// Simulates the control thread. It decides every proposal at once: it accepts, at offset 9, proposals
/// based on revision 7 of a tenant's document or on offset 0 of a zone, and reports others as stale. It
/// never replies to proposals whose id contains `silent`. It reports proposals whose id contains
/// `race` as repeated, as if another instance had proposed them first.
async fn simulate_control(events: Receiver<ControlEvent>) {
    let mut decided = BTreeMap::new();
    let mut undecided = Vec::new();
    let mut text = ORDERS.to_owned();
    while let Ok(event) = events.recv().await {
        let ControlEvent::Admin(request) = event else {
            continue;
        };
        match request {
            AdminRequest::Propose { record, reply } if record.id.contains("silent") => {
                undecided.push((record, reply));
            }
            AdminRequest::Propose { record, reply } => {
                let (tenant, answer) = decide(&record);
                if let (Body::Config { text: new, .. }, Code::Accepted) =
                    (&record.body, answer.code)
                {
                    text.clone_from(new);
                }
                let mut reported = answer.clone();
                if record.id.contains("race") {
                    reported.code = Code::Repeated;
                }
                let _ = reply.try_send(reported);
                decided.insert((tenant, record.id), answer);
            }
            AdminRequest::Lookup { tenant, id, reply } => {
                let _ = reply.try_send(decided.get(&(tenant, id)).cloned());
            }
            AdminRequest::Status { reply } => {
                let _ = reply.try_send(status());
            }
            AdminRequest::Config { tenant, reply } => {
                let known = tenant == Tenant::new("lemovka");
                let answer = ConfigAnswer {
                    revision: if known { 9 } else { 0 },
                    text: if known { text.clone() } else { String::new() },
                };
                let _ = reply.try_send(answer);
            }
            AdminRequest::Audit { from, limit, reply } => {
                let entries = audit_entries().into_iter().filter(|e| e.offset >= from);
                let _ = reply.try_send(entries.take(limit).collect());
            }
        }
    }
}

fn decide(record: &Record) -> (Option<Tenant>, ProposalAnswer) {
    let (tenant, base, expected) = match &record.body {
        Body::Config { tenant, base, .. } => (Some(tenant.clone()), *base, 7),
        Body::Zone { base, .. } => (None, *base, 0),
        other => panic!("unexpected proposal {other:?}"),
    };
    let code = if base == expected {
        Code::Accepted
    } else {
        Code::Stale
    };
    let answer = ProposalAnswer {
        id: record.id.clone(),
        code,
        offset: Some(9),
        detail: String::new(),
    };
    (tenant, answer)
}

fn status() -> StatusReply {
    let move_of = |service: &str| MoveStatus {
        plan: format!("{service}/v2/1"),
        service: service.into(),
        from: Version::new("v1"),
        to: Version::new("v2"),
        deadline: Wall(1),
        share: 100,
        verdict: None,
        reason: String::new(),
        decided: None,
    };
    StatusReply {
        status: Status {
            instance: "i-1".into(),
            offset: 9,
            peers: BTreeMap::from([("i-2".into(), 8)]),
            revisions: BTreeMap::from([("lemovka".into(), 7), ("sacaria".into(), 5)]),
            zones: BTreeMap::from([("b".into(), (true, 6))]),
            moves: vec![move_of("orders"), move_of("dispatch"), move_of("nobodys")],
            log_up: true,
        },
        owners: BTreeMap::from([
            ("orders".into(), "lemovka".into()),
            ("dispatch".into(), "sacaria".into()),
        ]),
        zones: ["a".into(), "b".into()].into(),
    }
}

/// Returns audit entries at offsets 1 to 30, of lemovka, sacaria and the platform in turn.
fn audit_entries() -> Vec<AuditEntry> {
    let tenants = [Some("lemovka"), Some("sacaria"), None];
    let entry = |offset: u64| AuditEntry {
        offset,
        id: format!("p-{offset}"),
        author: "ana".into(),
        tenant: tenants[usize::try_from(offset - 1).unwrap() % 3].map(Tenant::new),
        what: "config".to_owned(),
        base: 0,
        code: Code::Accepted,
        at: Wall(offset),
    };
    (1..=30).map(entry).collect()
}

fn token(tenant: &str, role: &str) -> String {
    format!("token-{tenant}-{role}")
}

/// Returns the settings of one operator in TOML.
fn operator_toml(tenant: &str, role: &str) -> String {
    let digest = format!("{:x}", Sha256::digest(token(tenant, role)));
    let tenant_line = if tenant.is_empty() {
        String::new()
    } else {
        format!("tenant = \"{tenant}\"\n")
    };
    format!(
        "[[operator]]\nname = \"{role}{tenant}\"\n{tenant_line}role = \"{role}\"\ntoken_sha256 = \
         \"{digest}\"\n"
    )
}

async fn start() -> (SocketAddr, Token) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let admin = listener.local_addr().unwrap();
    let mut text = format!(
        "instance = \"i-1\"\nzone = \"a\"\nregion = \"r1\"\nlisten = \"127.0.0.1:1\"\npeer = \
         \"127.0.0.1:2\"\nadmin = \"{admin}\"\nlog = \"127.0.0.1:3\"\nlist = \"127.0.0.1:4\"\n"
    );
    for (tenant, role) in OPERATORS {
        text.push_str(&operator_toml(tenant, role));
    }
    let settings = Settings::parse("test", &text).unwrap();
    let (sender, events) = unbounded();
    let cancel = Token::new();
    task::spawn(simulate_control(events));
    task::spawn(serve_admin(
        Context::new(settings, sender),
        cancel.child(),
        listener,
    ));
    (admin, cancel)
}

/// Runs a test against a server of its own.
fn with_server(test: impl AsyncFnOnce(SocketAddr)) {
    task::block_on(async {
        let (addr, cancel) = start().await;
        test(addr).await;
        cancel.cancel();
    });
}

/// Returns the HTTP status and the result code of a response.
fn codes((status, response): (u16, Value)) -> (u16, u64) {
    (status, response["code"].as_u64().unwrap_or(0))
}

async fn get(addr: SocketAddr, token: &str, path: &str) -> (u16, Value) {
    send(addr, Some(token), Method::Get, path, b"").await
}

async fn post(addr: SocketAddr, token: &str, path: &str, body: &str) -> (u16, Value) {
    send(addr, Some(token), Method::Post, path, body.as_bytes()).await
}

async fn send(
    addr: SocketAddr,
    token: Option<&str>,
    method: Method,
    path: &str,
    body: &[u8],
) -> (u16, Value) {
    let request = HttpRequest {
        addr,
        method,
        path,
        token,
        body,
        limit_ms: 8_000,
    };
    let response = exchange(&request).await.unwrap();
    let value = serde_json::from_slice(&response.body).unwrap_or_else(|e| {
        let text = String::from_utf8_lossy(&response.body);
        panic!("{path}: body {text:?} is not JSON: {e}")
    });
    (response.status, value)
}

/// Publishes a document of lemovka.
async fn publish(addr: SocketAddr, id: &str, base: u64, text: &str) -> (u16, Value) {
    let body = json!({"id": id, "base": base, "text": text}).to_string();
    let token = token("lemovka", "publish");
    let path = "/v1/config/lemovka";
    post(addr, &token, path, &body).await
}

/// Checks the HTTP status of every endpoint for every operator. The columns are: no token, an unknown
/// token, and the operators in the order of [`OPERATORS`].
#[test]
fn endpoints_by_role() {
    let doc = json!({"id": "p-0", "base": 7, "text": ORDERS}).to_string();
    let zone = json!({"id": "z-0", "base": 0, "out": true}).to_string();
    let (get, post) = (Method::Get, Method::Post);
    let table = [
        (
            get,
            "/v1/config/lemovka",
            "",
            [401, 401, 200, 200, 403, 403, 200],
        ),
        (
            get,
            "/v1/config/sacaria",
            "",
            [401, 401, 403, 403, 200, 200, 200],
        ),
        (
            post,
            "/v1/config/lemovka",
            &doc,
            [401, 401, 403, 200, 403, 403, 403],
        ),
        (
            post,
            "/v1/config/sacaria",
            &doc,
            [401, 401, 403, 403, 403, 200, 403],
        ),
        (
            post,
            "/v1/zones/b",
            &zone,
            [401, 401, 403, 403, 403, 403, 200],
        ),
        (
            get,
            "/v1/proposals/p-0",
            "",
            [401, 401, 200, 200, 200, 200, 404],
        ),
        (
            get,
            "/v1/proposals/z-0",
            "",
            [401, 401, 404, 404, 404, 404, 200],
        ),
        (
            get,
            "/v1/proposals/lemovka/p-0",
            "",
            [401, 401, 200, 200, 403, 403, 200],
        ),
        (get, "/v1/status", "", [401, 401, 200, 200, 200, 200, 200]),
        (get, "/v1/moves", "", [401, 401, 200, 200, 200, 200, 200]),
        (get, "/v1/audit", "", [401, 401, 200, 200, 200, 200, 200]),
    ];
    with_server(async |addr| {
        let mut tokens = vec![None, Some("token-unknown".to_owned())];
        tokens.extend(OPERATORS.map(|(tenant, role)| Some(token(tenant, role))));
        for (method, path, body, expected) in table {
            for (token, expected) in tokens.iter().zip(expected) {
                let (status, response) =
                    send(addr, token.as_deref(), method, path, body.as_bytes()).await;
                let case = format!("{method} {path} with {token:?}: {response}");
                assert_eq!(status, expected, "{case}");
                match status {
                    401 => assert_eq!(response["code"], 6011, "{case}"),
                    403 => assert_eq!(response["code"], 6006, "{case}"),
                    404 => assert_eq!(response["code"], 6013, "{case}"),
                    _ => {}
                }
            }
        }
    });
}

/// Guards against responses that show a tenant data of another tenant.
#[test]
fn responses_show_own_tenant_only() {
    with_server(async |addr| {
        for tenant in ["lemovka", "sacaria"] {
            let other = if tenant == "lemovka" {
                "dispatch"
            } else {
                "orders"
            };
            let token = token(tenant, "read");
            let (_, status) = get(addr, &token, "/v1/status").await;
            assert_eq!(status["revisions"].as_object().unwrap().len(), 1);
            assert!(status["revisions"][tenant].is_u64());
            assert_eq!(status["zones"]["b"], json!([true, 6]));
            for path in ["/v1/status", "/v1/moves"] {
                let (_, response) = get(addr, &token, path).await;
                assert_eq!(response["moves"].as_array().unwrap().len(), 1);
                assert!(!response["moves"].to_string().contains(other));
            }
            let (_, audit) = get(addr, &token, "/v1/audit").await;
            let entries = audit["entries"].as_array().unwrap();
            assert_eq!((entries.len(), &audit["next"]), (10, &Value::Null));
            assert!(entries.iter().all(|e| e["tenant"] == tenant));
        }
        let token = token("", "platform");
        let (_, status) = get(addr, &token, "/v1/status").await;
        assert_eq!(status["moves"].as_array().unwrap().len(), 3);
    });
}

/// Guards against entries that are lost or repeated between two pages of the audit trail.
#[test]
fn audit_pages_are_contiguous() {
    with_server(async |addr| {
        let token = token("sacaria", "read");
        let (mut from, mut offsets) = (0, Vec::new());
        for _ in 0..30 {
            let path = format!("/v1/audit?from={from}&limit=3");
            let (status, page) = get(addr, &token, &path).await;
            assert_eq!(status, 200);
            let entries = page["entries"].as_array().unwrap();
            assert!(entries.len() <= 3);
            offsets.extend(entries.iter().map(|e| e["offset"].as_u64().unwrap()));
            let Some(next) = page["next"].as_u64() else {
                break;
            };
            from = next;
        }
        assert_eq!(offsets, (0..10).map(|i| 3 * i + 2).collect::<Vec<u64>>());
        for query in ["limit=0", "limit=1001", "from=x", "limi=3"] {
            let path = format!("/v1/audit?{query}");
            assert_eq!(
                codes(get(addr, &token, &path).await),
                (400, 6014),
                "{query}"
            );
        }
    });
}

/// Guards against invalid documents and requests that reach the log.
#[test]
fn publish_checks_before_proposing() {
    with_server(async |addr| {
        let wrong = ORDERS.replace("target_ms = 60", "target_ms = 0\nweight = 1");
        let (status, response) = publish(addr, "p-1", 7, &wrong).await;
        assert_eq!(codes((status, response.clone())), (422, 5002));
        let detail = response["detail"].as_str().unwrap();
        assert!(detail.contains("service[0].class[0].weight"), "{detail}");
        assert!(detail.contains("target_ms: got 0;"), "{detail}");
        // JSON escapes each of the 40 Ki quotes with a second byte: 80 KiB are too much for a record.
        let quoted = format!("{ORDERS}# {}\n", "\"".repeat(40 * 1024));
        assert_eq!(codes(publish(addr, "p-1", 7, &quoted).await), (413, 7004));
        let large = "#".repeat(300 * 1024);
        assert_eq!(codes(publish(addr, "p-1", 7, &large).await), (413, 5007));
        assert_eq!(codes(publish(addr, "../p-1", 7, ORDERS).await), (400, 6014));
        let token = token("lemovka", "publish");
        let extra = r#"{"id":"p-1","base":7,"text":"","force":true}"#;
        for body in ["", "{", "{}", extra] {
            let path = "/v1/config/lemovka";
            assert_eq!(
                codes(post(addr, &token, path, body).await),
                (400, 6014),
                "{body}"
            );
        }
        // No proposal reached the log, so the id is still unused.
        let (status, response) = publish(addr, "p-1", 7, ORDERS).await;
        let accepted = json!({"id": "p-1", "code": 6001, "offset": 9, "detail": ""});
        assert_eq!((status, response), (200, accepted));
    });
}

/// Guards against a repeated proposal that is applied twice, and against a different document under the
/// same id that is reported as accepted.
#[test]
fn publish_repeated_id() {
    with_server(async |addr| {
        let first = publish(addr, "p-1", 7, ORDERS).await;
        assert_eq!(publish(addr, "p-1", 7, ORDERS).await, first);
        assert_eq!(
            codes(publish(addr, "p-1", 7, &format!("{ORDERS}# changed\n")).await),
            (409, 6004)
        );
        assert_eq!(codes(publish(addr, "p-2", 6, ORDERS).await), (409, 6003));
    });
}

/// Guards against reporting a proposal as repeated instead of accepted when another instance proposed
/// it first.
#[test]
fn publish_through_two_instances() {
    with_server(async |addr| {
        assert_eq!(codes(publish(addr, "race-1", 7, ORDERS).await), (200, 6001));
    });
}

/// Guards against tenants that can read proposals of other tenants by id, or cannot use an id because
/// another tenant has used it.
#[test]
fn proposal_ids_by_tenant() {
    with_server(async |addr| {
        publish(addr, "p-1", 7, ORDERS).await;
        let token = token("sacaria", "publish");
        let path = "/v1/proposals/p-1";
        let (status, _) = get(addr, &token, path).await;
        assert_eq!(status, 404);
        let body = json!({"id": "p-1", "base": 6, "text": ORDERS}).to_string();
        let path = "/v1/config/sacaria";
        assert_eq!(codes(post(addr, &token, path, &body).await), (409, 6003));
    });
}

/// Guards against taking out a zone with a misspelt name.
#[test]
fn zone_unknown_name() {
    with_server(async |addr| {
        let token = token("", "platform");
        let body = json!({"id": "z-1", "base": 0, "out": true}).to_string();
        let path = "/v1/zones/c";
        let response = post(addr, &token, path, &body).await;
        let detail = "zone: got c; allowed: a, b";
        assert_eq!(response, (409, json!({"code": 6005, "detail": detail})));
    });
}

/// Guards against error responses without a result code and detail.
#[test]
fn errors_have_bodies() {
    with_server(async |addr| {
        let token = token("", "platform");
        let cases = [
            (Method::Get, "/", 404, 6014),
            (Method::Get, "/v1/config/", 404, 6014),
            (Method::Post, "/v1/status", 405, 6014),
            (Method::Delete, "/v1/config/lemovka", 405, 6014),
            (Method::Get, "/v1/config/a%20b", 400, 6014),
            (Method::Get, "/v1/health", 503, 3007),
        ];
        for (method, path, status, code) in cases {
            let (got, response) = send(addr, Some(&token), method, path, b"").await;
            assert_eq!((got, &response["code"]), (status, &json!(code)), "{path}");
            assert!(!response["detail"].as_str().unwrap().is_empty());
        }
    });
}

/// Guards against requests that never end: one client stops within the head, one within the body, and
/// one proposal is never decided. Each gets a response after the timeout of 5 s, and the server serves
/// other requests meanwhile.
#[test]
fn slow_phases_time_out() {
    with_server(async |addr| {
        let head = task::spawn(send_raw(
            addr,
            b"GET /v1/status HTTP/1.1\r\nhost: x".to_vec(),
        ));
        let token = token("lemovka", "publish");
        let half = format!(
            "POST /v1/config/lemovka HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
             content-length: 900\r\n\r\n{{"
        );
        let body = task::spawn(send_raw(addr, half.into_bytes()));
        let silent = task::spawn(publish_silent(addr));
        let (status, _) = publish(addr, "p-1", 7, ORDERS).await;
        assert_eq!(status, 200);
        let head = head.await;
        assert!(
            head.starts_with("HTTP/1.1 408") && head.contains("2005"),
            "{head}"
        );
        let body = body.await;
        assert!(
            body.starts_with("HTTP/1.1 408") && body.contains("2005"),
            "{body}"
        );
        let (status, response) = silent.await;
        assert_eq!(response["id"], "silent-1");
        assert_eq!(codes((status, response)), (202, 6002));
    });
}

async fn publish_silent(addr: SocketAddr) -> (u16, Value) {
    publish(addr, "silent-1", 7, ORDERS).await
}

/// Sends `bytes`, leaves the connection open for writing, and returns the response.
async fn send_raw(addr: SocketAddr, bytes: Vec<u8>) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let limit = Duration::from_secs(8);
    let _ = async_std::future::timeout(limit, read)
        .await
        .expect("no response within 8 s");
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against malformed request heads that crash the process or block the server.
#[test]
fn malformed_heads() {
    let token = token("lemovka", "publish");
    let good = format!(
        "GET /v1/status HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    let mut rng = StdRng::seed_from_u64(7);
    with_server(async |addr| {
        for _ in 0..300 {
            let mut bytes = good.clone().into_bytes();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = *b"\r\n\0 :/?%\xff9A"
                    .get(rng.random_range(0..12))
                    .unwrap_or(&b'x');
            }
            let response = send_raw_and_close(addr, &bytes).await;
            assert!(
                response.is_empty() || response.starts_with("HTTP/1.1 "),
                "{response}"
            );
        }
        let large = format!(
            "GET /v1/status HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
            "y".repeat(9_000)
        );
        let response = send_raw_and_close(addr, large.as_bytes()).await;
        assert!(
            response.starts_with("HTTP/1.1 400") && response.contains("6014"),
            "{response}"
        );
        assert_eq!(codes(get(addr, &token, "/v1/status").await), (200, 0));
    });
}

/// Sends `bytes`, closes the connection for writing, and returns the response.
async fn send_raw_and_close(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against one host that uses all connections, and against closed connections that still count.
#[test]
fn connections_are_limited() {
    with_server(async |addr| {
        let mut from_one_host = Vec::new();
        for _ in 0..32 {
            from_one_host.push(TcpStream::connect(addr).await.unwrap());
        }
        let refused = send_raw(addr, b"GET /v1/health HTTP/1.1\r\n".to_vec()).await;
        assert_eq!(refused, "");
        let from_second_host: Vec<TcpStream> = (0..32)
            .map(|_| connect_from([127, 0, 0, 2], addr))
            .collect();
        let mut beyond_limit = connect_from([127, 0, 0, 3], addr);
        assert_eq!(beyond_limit.read(&mut [0]).await.unwrap_or(0), 0);
        drop((from_one_host, from_second_host));
        task::sleep(Duration::from_millis(100)).await;
        let (status, _) = send(addr, None, Method::Get, "/v1/health", b"").await;
        assert_eq!(status, 503);
    });
}

/// Connects from the local address `source`.
fn connect_from(source: [u8; 4], addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((source, 0)).into()).unwrap();
    socket.connect(&addr.into()).unwrap();
    std::net::TcpStream::from(socket).into()
}

/// Guards against digests that match only in part, and against headers in a form other than a bearer
/// token.
#[test]
fn find_operator() {
    let text = token("", "platform");
    let digest = format!("{:x}", Sha256::digest(&text));
    let operator = |name: &str, token_sha256: &str| model::Operator {
        name: name.into(),
        tenant: None,
        role: model::Role::Platform,
        token_sha256: token_sha256.to_owned(),
    };
    let last = if digest.ends_with('0') { '1' } else { '0' };
    let one_digit_off = format!("{}{last}", &digest[..63]);
    let operators = super::access::Operators::new(&[
        operator("right", &digest),
        operator("near", &one_digit_off),
        operator("broken", "xyz"),
    ]);
    let find = |header: &str| operators.find(Some(header)).map(|o| o.name.to_string());
    assert_eq!(find(&format!("Bearer {text}")).as_deref(), Some("right"));
    assert_eq!(find(&format!("bearer  {text} ")).as_deref(), Some("right"));
    for wrong in [
        &text,
        &format!("Basic {text}"),
        &format!("Bearer {digest}"),
        "Bearer ",
        "",
    ] {
        assert_eq!(find(wrong), None, "{wrong}");
    }
    assert!(operators.find(None).is_none());
}
