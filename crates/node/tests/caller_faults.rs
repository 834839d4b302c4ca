//! Callers that send wrong, slow or hostile requests. Guards against smuggled and lost requests, and
//! against harm to other calls.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{io::WriteExt, net::TcpStream, task};
use http_types::Method;
use model::Settings;
use node::{Node, Token};
use testkit::{HttpServer, ListServer, LogServer, json_response};

use common::{Act, Asked, RawUpstream, Reply, Rig, call_head, read_all};

async fn echo_rig() -> (RawUpstream, Rig) {
    let script = |asked: &Asked| {
        let body = format!("got {}", asked.body.len());
        vec![Act::Send(asked.answer(&body))]
    };
    let upstream = RawUpstream::start(true, script).await;
    let rig = Rig::start(upstream.addr, 3).await;
    (upstream, rig)
}

/// A call with raw header lines instead of a length.
fn with_lines(lines: &str) -> String {
    format!("POST /do HTTP/1.1\r\nhost: h\r\nhw-service: orders\r\nhw-class: lookup\r\n{lines}\r\n")
}

#[test]
fn request_malformed() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let requests = [
            with_lines("content-length: 1\r\ncontent-length: 2\r\n") + "ab",
            with_lines("content-length: 1\r\ntransfer-encoding: chunked\r\n") + "0\r\n\r\n",
            with_lines("transfer-encoding: chunked, gzip\r\n") + "0\r\n\r\n",
            with_lines("transfer-encoding: xchunked\r\n") + "0\r\n\r\n",
            with_lines("content-length: +1\r\n") + "a",
            with_lines("content-length: 0\r\nx-a: b\r\n folded\r\n"),
            with_lines("content-length: 0\r\nx-a : b\r\n"),
            with_lines("content-length: 0\nx-a: b\r\n"),
            with_lines("content-length: 0\r\nx-a: b\rx-b: c\r\n"),
            with_lines("content-length: 0\r\n").replace("/do", "/a/../b"),
            with_lines("content-length: 0\r\n").replace("host: h\r\n", ""),
            with_lines("content-length: 0\r\n").replace("HTTP/1.1", "HTTP/3.0"),
            with_lines("content-length: 0\r\n").replace("POST /do", "CONNECT h:80"),
            "\0\0\0\0\r\n\r\n".to_owned(),
        ];
        for request in requests {
            let reply = Reply::parse(&rig.raw(request.as_bytes()).await);
            assert_eq!(reply.result(), (400, 2001, "not-run"), "{request:?}");
            assert_eq!(reply.header("connection"), Some("close"));
        }
        assert_eq!(upstream.count(), 0);
        assert_eq!(rig.call("lookup", "", b"x").await.code(), 1000);
    });
}

#[test]
fn request_chunk_sizes_malformed() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let bodies = [
            "xyz\r\nabc\r\n0\r\n\r\n",
            "3\r\nabcd\r\n0\r\n\r\n",
            "-1\r\n\r\n",
        ];
        for body in bodies {
            let request = with_lines("transfer-encoding: chunked\r\n") + body;
            let reply = Reply::parse(&rig.raw(request.as_bytes()).await);
            assert_eq!(reply.result(), (400, 2001, "not-run"), "{body:?}");
        }
        assert_eq!(upstream.count(), 0);
    });
}

#[test]
fn request_head_too_large() {
    task::block_on(async {
        let (_upstream, rig) = echo_rig().await;
        let long = format!("x-long: {}\r\n", "a".repeat(9_000));
        let many = "x-more: a\r\n".repeat(110);
        for lines in [long, many] {
            let request = with_lines(&format!("{lines}content-length: 0\r\n"));
            let reply = Reply::parse(&rig.raw(request.as_bytes()).await);
            assert_eq!(reply.result(), (431, 2004, "not-run"));
        }
        // A line without end must not be collected without bound.
        let endless = vec![b'a'; 1_000_000];
        let reply = Reply::parse(&rig.raw(&endless).await);
        assert_eq!(reply.result(), (431, 2004, "not-run"));
    });
}

#[test]
fn request_pipelined_is_not_lost_silently() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut bytes = call_head("lookup", "", 2);
        bytes.extend_from_slice(b"ab");
        bytes.extend(call_head("lookup", "", 0));
        let text = rig.raw(&bytes).await;
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 1);
        assert_eq!(Reply::parse(&text).header("connection"), Some("close"));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn request_before_configuration() {
    task::block_on(async {
        let (log, list) = (LogServer::start().await, ListServer::start().await);
        let text = common::settings_text(log.addr(), list.addr());
        let settings = Settings::parse("test", &text).unwrap();
        let entry = settings.listen;
        let node = Node::start(settings, &Token::new()).await.unwrap();
        let addresses = "GET /v1/addresses?service=orders HTTP/1.1\r\nhost: h\r\n\
                         connection: close\r\n\r\n";
        let call = with_lines("content-length: 0\r\nconnection: close\r\n");
        for request in [addresses, &call] {
            let mut caller = TcpStream::connect(entry).await.unwrap();
            caller.write_all(request.as_bytes()).await.unwrap();
            let reply = Reply::parse(&read_all(&mut caller).await);
            assert_eq!(reply.result(), (503, 3007, "not-run"));
        }
        node.kill();
    });
}

/// An instance with a configuration answered calls with 3003 until it had read the list.
#[test]
fn request_before_first_list() {
    task::block_on(async {
        let read = Arc::new(AtomicBool::new(false));
        let released = Arc::clone(&read);
        let entry = common::upstream_entry("t-1", common::free_addr(), 3);
        let list = HttpServer::start(move |req, _| {
            let (released, entry) = (Arc::clone(&released), entry.clone());
            async move {
                while req.method() == Method::Get && !released.load(Ordering::SeqCst) {
                    task::sleep(Duration::from_millis(5)).await;
                }
                let answer = wire::ListAnswer {
                    version: 1,
                    entries: vec![entry],
                };
                json_response(&answer)
            }
        })
        .await;
        let platform = common::Platform::start(common::free_addr(), 3).await;
        let text = common::settings_text(platform.log.addr(), list.addr());
        let settings = Settings::parse("test", &text).unwrap();
        let (entry, admin) = (settings.listen, settings.admin);
        let node = Node::start(settings, &Token::new()).await.unwrap();
        let ask = async |addr, path: &str| {
            let mut caller = TcpStream::connect(addr).await.unwrap();
            let text = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
            caller.write_all(text.as_bytes()).await.unwrap();
            Reply::parse(&read_all(&mut caller).await)
        };
        let wait = async |addr, path: &str| {
            let start = Instant::now();
            while ask(addr, path).await.status != 200 {
                assert!(start.elapsed() < common::PATIENCE, "{path}");
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        wait(admin, "/v1/health").await;
        let path = "/v1/addresses?service=orders";
        assert_eq!(ask(entry, path).await.result(), (503, 3007, "not-run"));
        read.store(true, Ordering::SeqCst);
        wait(entry, path).await;
        node.kill();
    });
}

#[test]
fn addresses_answer() {
    task::block_on(async {
        let (_upstream, rig) = echo_rig().await;
        let text = "GET /v1/addresses?service=orders&zone=a HTTP/1.1\r\nhost: h\r\n\
                    connection: close\r\n\r\n";
        let reply = Reply::parse(&rig.raw(text.as_bytes()).await);
        assert_eq!(reply.status, 200);
        assert!(reply.header("hw-offset").is_some());
        let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(body["addresses"][0], rig.entry.to_string());
        let age = body["max_age_ms"].as_u64().unwrap();
        assert!((1_600..=2_400).contains(&age), "{age}");
    });
}

#[test]
fn request_without_service() {
    task::block_on(async {
        let (_upstream, rig) = echo_rig().await;
        let text = "GET /else HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let reply = Reply::parse(&rig.raw(text.as_bytes()).await);
        assert_eq!(reply.result(), (400, 2007, "not-run"));
    });
}

#[test]
fn request_unknown_names() {
    task::block_on(async {
        let (_upstream, rig) = echo_rig().await;
        let head = with_lines("content-length: 0\r\nconnection: close\r\n");
        let wrong = [
            (head.replace("orders", "nothing"), (404, 2002, "not-run")),
            (head.replace("lookup", "nothing"), (404, 2003, "not-run")),
        ];
        for (request, expected) in wrong {
            assert_eq!(
                Reply::parse(&rig.raw(request.as_bytes()).await).result(),
                expected
            );
        }
        let reply = rig.call("lookup", "hw-deadline-ms: soon\r\n", b"").await;
        assert_eq!(reply.result(), (400, 2007, "not-run"));
    });
}

/// Run with `cargo test -p hibiscusway --test caller_faults -- --ignored`.
#[test]
#[ignore = "takes 10 s, the time limit for a head"]
fn head_too_slow() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut caller = rig.connect().await;
        caller.write_all(b"GET / HT").await.unwrap();
        let start = Instant::now();
        task::sleep(Duration::from_secs(5)).await;
        caller.write_all(b"TP/1.1\r\n").await.unwrap();
        let reply = Reply::parse(&read_all(&mut caller).await);
        assert_eq!(reply.result(), (408, 2005, "not-run"));
        let took = start.elapsed();
        assert!((9..12).contains(&took.as_secs()), "{took:?}");
        assert_eq!(upstream.count(), 0);
    });
}

#[test]
fn body_too_slow() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut caller = rig.connect().await;
        caller
            .write_all(&call_head("lookup", "", 100))
            .await
            .unwrap();
        let start = Instant::now();
        let reply = Reply::parse(&read_all(&mut caller).await);
        assert_eq!(reply.result(), (408, 2005, "not-run"));
        assert!(start.elapsed() < Duration::from_secs(4));
        assert_eq!(upstream.count(), 0);
    });
}

#[test]
fn body_cut_short() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut caller = rig.connect().await;
        caller
            .write_all(&call_head("lookup", "", 100))
            .await
            .unwrap();
        caller.write_all(b"part").await.unwrap();
        drop(caller);
        assert_eq!(rig.call("lookup", "", b"x").await.code(), 1000);
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn body_large_cut_short() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut caller = rig.connect().await;
        caller
            .write_all(&call_head("confirmation", "", 1_000_000))
            .await
            .unwrap();
        caller.write_all(&vec![1; 300_000]).await.unwrap();
        common::wait_for(|| upstream.accepted.load(Ordering::SeqCst) == 1).await;
        drop(caller);
        // The upstream must not take the part for the whole.
        upstream.wait_closed(1).await;
        assert_eq!(upstream.count(), 0);
    });
}

#[test]
fn body_in_chunks_small_and_large() {
    task::block_on(async {
        let script = |asked: &Asked| vec![Act::Send(asked.answer("ok"))];
        let upstream = RawUpstream::start(false, script).await;
        let rig = Rig::start(upstream.addr, 3).await;
        let head = with_lines("transfer-encoding: chunked\r\nconnection: close\r\n");
        let small = head.clone() + "3\r\nabc\r\n0\r\n\r\n";
        let reply = Reply::parse(&rig.raw(small.as_bytes()).await);
        assert_eq!(reply.result(), (200, 1000, "served"));
        assert_eq!(upstream.asked(0).header("content-length"), Some("3"));
        let chunk = format!("10000\r\n{}\r\n", "z".repeat(0x10000));
        let large = head + &chunk.repeat(3) + "0\r\n\r\n";
        let reply = Reply::parse(&rig.raw(large.as_bytes()).await);
        assert_eq!(reply.result(), (200, 1000, "served"));
        assert_eq!(
            upstream.asked(1).header("transfer-encoding"),
            Some("chunked")
        );
    });
}

#[test]
fn expect_continue() {
    task::block_on(async {
        let (upstream, rig) = echo_rig().await;
        let mut caller = rig.connect().await;
        let head = call_head("lookup", "expect: 100-continue\r\nconnection: close\r\n", 3);
        caller.write_all(&head).await.unwrap();
        task::sleep(Duration::from_millis(30)).await;
        caller.write_all(b"abc").await.unwrap();
        let text = read_all(&mut caller).await;
        assert!(
            text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"),
            "{text}"
        );
        assert_eq!(upstream.asked(0).header("expect"), None);
    });
}

#[test]
fn headers_pass_unchanged() {
    task::block_on(async {
        let script = |asked: &Asked| {
            let call = asked.call();
            let text = format!(
                "HTTP/1.1 200 OK\r\nhw-call: {call}\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n\
                 x-drop: 1\r\nconnection: x-drop\r\nhw-cold: 1\r\ncontent-length: 0\r\n\r\n"
            );
            vec![Act::Send(text.into_bytes())]
        };
        let upstream = RawUpstream::start(true, script).await;
        let rig = Rig::start(upstream.addr, 3).await;
        let text = "GET /a%20b/c?q=%2F&r=1+2 HTTP/1.1\r\nhost: orders.test\r\nhw-service: orders\r\n\
                    hw-class: lookup\r\nx-many: 1\r\nx-many: 2\r\nx-hop: 1\r\n\
                    connection: close, x-hop\r\nhw-deadline-ms: 700\r\nhw-retry-budget: 2\r\n\r\n";
        let reply = Reply::parse(&rig.raw(text.as_bytes()).await);
        assert_eq!(reply.result(), (200, 1000, "served"));
        assert_eq!(reply.head.matches("set-cookie: ").count(), 2);
        for dropped in ["x-drop", "hw-cold", "hw-call"] {
            assert_eq!(reply.header(dropped), None);
        }
        let date = reply.header("date").unwrap();
        assert!(date.ends_with("gmt") && !date.contains("date"), "{date}");
        let asked = upstream.asked(0);
        assert!(
            asked
                .head
                .starts_with("GET /a%20b/c?q=%2F&r=1+2 HTTP/1.1\r\n"),
            "{}",
            asked.head
        );
        assert_eq!(asked.header("host"), Some("orders.test"));
        assert_eq!(asked.head.matches("x-many: ").count(), 2);
        assert_eq!(asked.header("x-hop"), None);
        assert_eq!(asked.header("content-type"), None);
        assert_eq!(asked.header("hw-retry-budget"), Some("1"));
        let left: u64 = asked.header("hw-deadline-ms").unwrap().parse().unwrap();
        assert!((600..=700).contains(&left), "{left}");
    });
}

#[test]
fn idempotency_key_repeated() {
    task::block_on(async {
        let script = |asked: &Asked| vec![Act::Pause(100), Act::Send(asked.answer("ok"))];
        let upstream = RawUpstream::start(true, script).await;
        let rig = Rig::start(upstream.addr, 3).await;
        let key = "idempotency-key: k-1\r\n";
        let again = async {
            common::wait_for(|| upstream.count() == 1).await;
            rig.call("confirmation", key, b"").await
        };
        let (first, again) = futures::join!(rig.call("confirmation", key, b""), again);
        assert_eq!(first.result(), (200, 1000, "served"));
        assert_eq!(again.result(), (409, 2006, "not-run"));
        assert_eq!(again.header("hw-key-state"), Some("running"));
        let last = rig.call("confirmation", key, b"").await;
        assert_eq!(last.header("hw-key-state"), Some("done"));
        assert_eq!(upstream.count(), 1);
        let other = rig
            .call("confirmation", "idempotency-key: k-2\r\n", b"")
            .await;
        assert_eq!(other.code(), 1000);
    });
}

#[test]
fn idempotency_key_after_unknown_outcome() {
    task::block_on(async {
        let upstream = RawUpstream::start(true, |_| vec![Act::Close]).await;
        let rig = Rig::start(upstream.addr, 3).await;
        let key = "idempotency-key: k-1\r\n";
        assert_eq!(
            rig.call("confirmation", key, b"").await.outcome(),
            "unknown"
        );
        let again = rig.call("confirmation", key, b"").await;
        assert_eq!(again.header("hw-key-state"), Some("unknown"));
        assert_eq!(upstream.count(), 1);
    });
}
