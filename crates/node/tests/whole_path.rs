//! A call over real sockets from the question for addresses to the whole answer. Guards against
//! parts that work alone but not together.

use std::{net::SocketAddr, time::Duration};

use async_std::{net::TcpStream, task};
use http_types::Method;
use model::{OperatorName, Settings, Tenant, Wall};
use node::{Node, Token};
use platform::{HttpRequest, LogClient, exchange};
use testkit::{CallSpec, ListServer, LogServer, Upstream, UpstreamSpec, send_call};
use wire::{Body, EntryKind, EntryState, ListEntry, Record};

const CONFIG: &str = r#"
[[service]]
name = "orders"
version = "v1"

[[service.class]]
name = "confirmation"
target_ms = 60
delay_ms = 20
idempotent = false
"#;

fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn settings(log: SocketAddr, list: SocketAddr) -> Settings {
    let text = format!(
        "instance = \"i-1\"\nzone = \"a\"\nregion = \"r1\"\nlisten = \"{}\"\npeer = \"{}\"\n\
         admin = \"{}\"\nlog = \"{log}\"\nlist = \"{list}\"\n",
        free_addr(),
        free_addr(),
        free_addr(),
    );
    Settings::parse("test", &text).unwrap()
}

fn upstream_entry(addr: SocketAddr) -> ListEntry {
    ListEntry {
        id: "t-1".to_owned(),
        kind: EntryKind::Upstream,
        zone: "a".into(),
        region: "r1".into(),
        addr,
        peer: None,
        service: Some("orders".into()),
        version: Some("v1".into()),
        slots: Some(3),
        state: EntryState::Live,
        incarnation: 1,
    }
}

async fn addresses(entry: SocketAddr) -> Vec<String> {
    let request = HttpRequest {
        addr: entry,
        method: Method::Get,
        path: "/v1/addresses?service=orders&zone=a",
        token: None,
        body: &[],
        limit_ms: 1_000,
    };
    let Ok(answer) = exchange(&request).await else {
        return Vec::new();
    };
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let found = value["addresses"].as_array().cloned().unwrap_or_default();
    found
        .iter()
        .filter_map(|a| a.as_str().map(str::to_owned))
        .collect()
}

#[test]
fn whole_path_one_instance() {
    task::block_on(async {
        let log = LogServer::start().await;
        let list = ListServer::start().await;
        let spec = UpstreamSpec {
            slots: 3,
            mean_us: 2_000.0,
            sigma: 0.5,
            seed: 1,
        };
        let upstream = Upstream::start(spec).await;
        list.put(upstream_entry(upstream.addr()));
        let settings = settings(log.addr(), list.addr());
        let entry = settings.listen;
        let record = Record {
            id: "p-1".to_owned(),
            author: OperatorName::new("ana"),
            at: Wall(0),
            body: Body::Config {
                tenant: Tenant::new("lemovka"),
                base: 0,
                text: CONFIG.to_owned(),
            },
        };
        let client = LogClient::new(log.addr(), &settings.stream);
        client.append(vec![record.encode().unwrap()]).await.unwrap();
        let cancel = Token::new();
        let node = Node::start(settings, &cancel).await.unwrap();

        let mut found = Vec::new();
        for _ in 0..200 {
            found = addresses(entry).await;
            if !found.is_empty() {
                break;
            }
            task::sleep(Duration::from_millis(25)).await;
        }
        assert_eq!(found, [entry.to_string()]);

        let stream = TcpStream::connect(entry).await.unwrap();
        for _ in 0..3 {
            let spec = CallSpec {
                service: "orders",
                class: "confirmation",
                path: "/confirm",
                body: b"order 7",
                headers: &[("x-answer-bytes", "5000")],
            };
            let answer = send_call(stream.clone(), entry, &spec).await.unwrap();
            assert_eq!((answer.status, answer.code), (200, Some(1000)));
            assert_eq!(answer.body.len(), 5_000);
        }
        assert_eq!(upstream.ran(), 3);
        node.kill();
    });
}
