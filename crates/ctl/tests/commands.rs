//! Tests of the `hibiscusctl` binary against a simulated administration server. They guard against
//! changes of exit codes and output that scripts rely on, against invalid documents that are published,
//! and against proposals whose id or outcome is not reported.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
};

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use testkit::{HttpServer, json_response};

const TOKEN: &str = "token-4711";
const ORDERS: &str = "[[service]]\nname = \"orders\"\nversion = \"v1\"\n[[service.class]]\nname = \
                      \"confirmation\"\ntarget_ms = 60\ndelay_ms = 20\nidempotent = false\n";

/// The simulated server: the requests that it received and the responses that it gives.
#[derive(Debug, Default)]
struct FakeServer {
    /// Method, path and body of each request.
    received: Vec<(String, String, Value)>,
    /// Number of responses that still report a proposal as pending.
    pending: u32,
    /// Number of status reads until the last instance reaches offset 9.
    behind: u32,
    /// HTTP status and result code with which the server rejects every request.
    reject: Option<(u16, u16)>,
}

type Shared = Arc<Mutex<FakeServer>>;

async fn start(fake: FakeServer) -> (Shared, HttpServer) {
    let shared = Arc::new(Mutex::new(fake));
    let handler = Arc::clone(&shared);
    let server = HttpServer::start(move |req, _| respond(Arc::clone(&handler), req)).await;
    (shared, server)
}

/// Responds to one request.
async fn respond(fake: Shared, mut req: Request) -> http_types::Result<Response> {
    let body = req.body_string().await?;
    let path = req.url().path().to_owned();
    let query = req.url().query().unwrap_or_default().to_owned();
    let token = req
        .header("authorization")
        .map(|v| v.last().as_str().to_owned());
    let mut fake = fake.lock().unwrap();
    let value = serde_json::from_str(&body).unwrap_or_default();
    fake.received
        .push((req.method().to_string(), format!("{path}?{query}"), value));
    if token.as_deref() != Some("Bearer token-4711") {
        return reject(401, 6011);
    }
    if let Some((status, code)) = fake.reject {
        return reject(status, code);
    }
    let json: Value = serde_json::from_str(&body).unwrap_or_default();
    match (req.method(), path.as_str()) {
        (Method::Post, _) if json["base"] == 3 => decision(&json["id"], 6003, 409),
        (Method::Post, _) if fake.pending > 0 => decision(&json["id"], 6002, 202),
        (Method::Post, _) => decision(&json["id"], 6001, 200),
        (_, "/v1/config/lemovka") => json_response(&json!({"revision": 7, "text": ""})),
        (_, "/v1/proposals/gone") => reject(404, 6013),
        (_, p) if p.starts_with("/v1/proposals/") => {
            fake.pending = fake.pending.saturating_sub(1);
            let code = if fake.pending > 0 { 6002 } else { 6001 };
            decision(&json!(p.trim_start_matches("/v1/proposals/")), code, 200)
        }
        (_, "/v1/status") => {
            fake.behind = fake.behind.saturating_sub(1);
            json_response(&status(if fake.behind > 0 { 8 } else { 9 }))
        }
        (_, "/v1/moves") => json_response(&json!({"moves": status(9)["moves"]})),
        (_, "/v1/audit") => json_response(&json!({
            "entries": [{"offset": 9, "id": "lemovka/p-1", "author": "ana", "tenant": "lemovka",
                         "what": "config\u{1b}[2J", "base": 7, "code": 6001, "at": 1_796_464_800_000_u64}],
            "next": 10
        })),
        _ => reject(404, 6014),
    }
}

fn reject(status: u16, code: u16) -> http_types::Result<Response> {
    let mut response = json_response(&json!({"code": code, "detail": "refused"}))?;
    response.set_status(StatusCode::try_from(status)?);
    Ok(response)
}

fn decision(id: &Value, code: u16, status: u16) -> http_types::Result<Response> {
    let offset = (code == 6001).then_some(9);
    let body = json!({"id": id, "code": code, "offset": offset, "detail": ""});
    let mut response = json_response(&body)?;
    response.set_status(StatusCode::try_from(status)?);
    Ok(response)
}

fn status(last: u64) -> Value {
    json!({
        "instance": "i-1", "offset": 9, "peers": {"i-2": last},
        "revisions": {"lemovka": 7}, "zones": {"sk-central-b": [true, 6]},
        "moves": [{"plan": "orders/v2/1796464800000", "service": "orders", "from": "v1", "to": "v2",
                   "deadline": 1_796_464_800_000_u64, "share": 525, "verdict": "undone",
                   "reason": "errors", "decided": 1_796_464_700_000_u64}],
        "log_up": true
    })
}

fn command(addrs: &[SocketAddr], args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"));
    command.env_clear().env("HIBISCUS_TOKEN", TOKEN);
    for addr in addrs {
        command.args(["--admin", &addr.to_string()]);
    }
    command.args(args);
    command
}

async fn run_command(mut command: Command) -> (i32, String, String) {
    let output: Output = task::spawn_blocking(move || command.output().unwrap()).await;
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let exit = output.status.code().unwrap();
    (exit, text(&output.stdout), text(&output.stderr))
}

async fn run(addrs: &[SocketAddr], args: &[&str]) -> (i32, String, String) {
    run_command(command(addrs, args)).await
}

/// A temporary file, deleted when the value is dropped.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &[u8]) -> Self {
        let file = format!("hibiscusctl-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns an address on which no process listens.
fn closed_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn check_offline() {
    task::block_on(async {
        let good = TempFile::new("check-good", ORDERS.as_bytes());
        let (exit, out, _) = run(&[], &["check", good.path()]).await;
        assert_eq!((exit, out), (0, format!("{}: no errors\n", good.path())));
        let wrong = ORDERS.replace("delay_ms = 20", "delay_ms = 90\nweight = 1");
        let wrong = TempFile::new("check-wrong", wrong.as_bytes());
        let (exit, out, err) = run(&[], &["check", wrong.path()]).await;
        assert_eq!((exit, out.as_str()), (1, ""));
        assert!(
            err.contains("delay_ms: got 90;") && err.contains("5002: "),
            "{err}"
        );
        let (exit, out, _) = run(&[], &["--json", "check", wrong.path()]).await;
        let value: Value = serde_json::from_str(&out).unwrap();
        assert_eq!(
            (exit, &value["code"], &value["exit"]),
            (1, &json!(5002), &json!(1))
        );
        let large = TempFile::new("check-large", &b"# \xc3\xa9".repeat(100_000));
        let (exit, _, err) = run(&[], &["check", large.path()]).await;
        assert_eq!((exit, &err[..5]), (1, "5007:"), "{err}");
        let binary = TempFile::new("check-binary", b"\xff\xfe");
        assert_eq!(run(&[], &["check", binary.path()]).await.0, 2);
        assert_eq!(run(&[], &["check", "/nonexistent.toml"]).await.0, 2);
    });
}

#[test]
fn usage_errors() {
    task::block_on(async {
        let doc = TempFile::new("usage", ORDERS.as_bytes());
        let addr = closed_addr();
        let long = "x".repeat(65);
        let cases: [&[&str]; 8] = [
            &[],
            &["publish", doc.path()],
            &["publish", doc.path(), "--tenant", "../x"],
            &["publish", doc.path(), "--tenant", "lemovka", "--id", &long],
            &["zone", "sideways", "a"],
            &["watch", "soon"],
            &["proposal", "a/b/c"],
            &["--limit-ms", "0", "status"],
        ];
        for args in cases {
            let (exit, out, err) = run(&[addr], args).await;
            assert_eq!((exit, out.as_str()), (2, ""), "{args:?}");
            assert!(!err.is_empty(), "{args:?}");
        }
        assert_eq!(run(&[], &["status"]).await.0, 2, "no address");
        let mut without = command(&[addr], &["status"]);
        without.env_remove("HIBISCUS_TOKEN");
        assert_eq!(run_command(without).await.0, 2, "no token");
        let mut wrong = command(&[addr], &["status"]);
        wrong.env("HIBISCUS_TOKEN", "a\nb");
        assert_eq!(run_command(wrong).await.0, 2, "token with a line end");
        assert_eq!(run(&[], &["--help"]).await.0, 0);
        assert_eq!(run(&[], &["--version"]).await.0, 0);
    });
}

#[test]
fn publish_accepted() {
    task::block_on(async {
        let (fake, server) = start(FakeServer::default()).await;
        let doc = TempFile::new("accepted", ORDERS.as_bytes());
        let args = ["publish", doc.path(), "--tenant", "lemovka", "--id", "p-1"];
        let (exit, out, err) = run(&[closed_addr(), server.addr()], &args).await;
        assert_eq!((exit, err.as_str()), (0, ""));
        let expected = "proposal p-1 against revision 7\nproposal p-1: 6001 accepted at offset \
                        9\nfollow it: hibiscusctl watch 9\n";
        assert_eq!(out, expected);
        let (method, path, body) = fake.lock().unwrap().received.pop().unwrap();
        assert_eq!(
            (method.as_str(), path.as_str()),
            ("POST", "/v1/config/lemovka?")
        );
        assert_eq!(body, json!({"id": "p-1", "base": 7, "text": ORDERS}));
    });
}

/// Guards against sending an invalid document to the server.
#[test]
fn publish_invalid_document() {
    task::block_on(async {
        let (fake, server) = start(FakeServer::default()).await;
        let doc = TempFile::new("wrong", b"[[service]]\nname = \"orders\"\n");
        let args = ["publish", doc.path(), "--tenant", "lemovka"];
        assert_eq!(run(&[server.addr()], &args).await.0, 1);
        assert!(fake.lock().unwrap().received.is_empty());
    });
}

#[test]
fn publish_pending() {
    task::block_on(async {
        let doc = TempFile::new("pending", ORDERS.as_bytes());
        let fake = |pending| FakeServer {
            pending,
            ..FakeServer::default()
        };
        let (_, server) = start(fake(3)).await;
        let args = ["publish", doc.path(), "--tenant", "lemovka", "--id", "p-1"];
        let (exit, out, _) = run(&[server.addr()], &args).await;
        assert_eq!(exit, 0, "{out}");
        let (_, server) = start(fake(1_000)).await;
        let args = [&args[..], &["--base", "7", "--wait-ms", "300"]].concat();
        let (exit, out, _) = run(&[server.addr()], &args).await;
        assert_eq!(exit, 3, "{out}");
        assert!(
            out.contains("ask again: hibiscusctl proposal p-1\n"),
            "{out}"
        );
        assert!(
            out.contains("--tenant lemovka --base 7 --id p-1\n"),
            "{out}"
        );
        let json_args = [&["--json"], &args[..]].concat();
        let (exit, out, _) = run(&[server.addr()], &json_args).await;
        let value: Value = serde_json::from_str(&out).unwrap();
        assert_eq!(
            (exit, &value["code"], &value["id"]),
            (3, &json!(6002), &json!("p-1"))
        );
    });
}

#[test]
fn publish_rejected() {
    task::block_on(async {
        let doc = TempFile::new("rejected", ORDERS.as_bytes());
        let args = ["publish", doc.path(), "--tenant", "lemovka", "--base", "3"];
        let (_, server) = start(FakeServer::default()).await;
        let (exit, out, _) = run(&[server.addr()], &args).await;
        assert_eq!(exit, 1);
        assert!(
            out.contains(": 6003 made against an older revision\n"),
            "{out}"
        );
        for (status, code, expected) in [(403, 6006, 5), (422, 5002, 1), (409, 6005, 1)] {
            let reject = Some((status, code));
            let (_, server) = start(FakeServer {
                reject,
                ..FakeServer::default()
            })
            .await;
            let (exit, _, err) = run(&[server.addr()], &args).await;
            assert_eq!(exit, expected, "{err}");
            assert!(err.starts_with(&code.to_string()), "{err}");
        }
        let mut wrong = command(&[server.addr()], &["status"]);
        wrong.env("HIBISCUS_TOKEN", "other");
        let (exit, _, err) = run_command(wrong).await;
        assert_eq!((exit, &err[..4]), (5, "6011"));
    });
}

/// Guards against an error that does not name the proposal id when the outcome is unknown.
#[test]
fn publish_without_usable_response() {
    task::block_on(async {
        let doc = TempFile::new("no-answer", ORDERS.as_bytes());
        let args = [
            "publish",
            doc.path(),
            "--tenant",
            "lemovka",
            "--id",
            "p-1",
            "--base",
            "7",
        ];
        let busy = FakeServer {
            reject: Some((503, 6015)),
            ..FakeServer::default()
        };
        let (fake, server) = start(busy).await;
        let addrs = [closed_addr(), server.addr()];
        let (exit, _, err) = run(&addrs, &args).await;
        assert_eq!(exit, 4);
        assert!(
            err.starts_with("proposal p-1: no answer") && err.contains("6015"),
            "{err}"
        );
        assert_eq!(fake.lock().unwrap().received.len(), 1);
        let (_, out, _) = run(&addrs, &[&["--json"], &args[..]].concat()).await;
        let value: Value = serde_json::from_str(&out).unwrap();
        assert_eq!((&value["id"], &value["exit"]), (&json!("p-1"), &json!(4)));
    });
}

#[test]
fn watch_until_reached() {
    task::block_on(async {
        let behind = |behind| FakeServer {
            behind,
            ..FakeServer::default()
        };
        let (_, server) = start(behind(3)).await;
        let (exit, out, _) = run(&[server.addr()], &["watch", "9"]).await;
        let expected = "instance i-1 offset 9 reached\ninstance i-2 offset 8 behind\ninstance i-2 \
                        offset 9 reached\noffset 9 in force on 2 of 2 instances\n";
        assert_eq!((exit, out.as_str()), (0, expected));
        let (_, server) = start(behind(1_000)).await;
        let args = ["--json", "watch", "9", "--wait-ms", "300"];
        let (exit, out, _) = run(&[server.addr()], &args).await;
        let expected = json!({"offset": 9, "reached": false, "instances": {"i-1": 9, "i-2": 8}});
        assert_eq!(
            (exit, serde_json::from_str::<Value>(&out).unwrap()),
            (3, expected)
        );
        let args = ["watch", "9", "--wait-ms", "300"];
        assert_eq!(run(&[closed_addr()], &args).await.0, 4);
    });
}

#[test]
fn zone_uses_last_change() {
    task::block_on(async {
        let (fake, server) = start(FakeServer::default()).await;
        let cases = [
            ("out", "sk-central-a", 0, true),
            ("back", "sk-central-b", 6, false),
        ];
        for (direction, zone, base, out) in cases {
            let args = ["zone", direction, zone, "--id", "z-1"];
            assert_eq!(run(&[server.addr()], &args).await.0, 0);
            let (_, path, body) = fake.lock().unwrap().received.pop().unwrap();
            assert_eq!(path, format!("/v1/zones/{zone}?"));
            assert_eq!(body, json!({"id": "z-1", "base": base, "out": out}));
        }
    });
}

#[test]
fn show_commands() {
    task::block_on(async {
        let (fake, server) = start(FakeServer::default()).await;
        let addrs = [server.addr()];
        let plan = "move orders/v2/1796464800000 from v1 to v2 share 5.25% deadline \
                    2026-12-05T10:00:00.000Z undone at 2026-12-05T09:58:20.000Z (errors)\n";
        let status = "instance i-1 offset 9 log up\ninstance i-2 offset 9\ntenant lemovka revision \
                      7\nzone sk-central-b out since offset 6\n";
        assert_eq!(run(&addrs, &["status"]).await.1, format!("{status}{plan}"));
        assert_eq!(run(&addrs, &["moves"]).await.1, plan);
        let (exit, out, _) = run(&addrs, &["audit", "--from", "5", "--limit", "3"]).await;
        let entry = "9 2026-12-05T10:00:00.000Z ana lemovka lemovka/p-1 base 7 6001 accepted: \
                     config\u{fffd}[2J\nmore: hibiscusctl audit --from 10\n";
        assert_eq!((exit, out.as_str()), (0, entry));
        let path = fake.lock().unwrap().received.pop().unwrap().1;
        assert_eq!(path, "/v1/audit?from=5&limit=3");
        assert_eq!(run(&addrs, &["proposal", "lemovka/p-1"]).await.0, 0);
        let (exit, _, err) = run(&addrs, &["proposal", "gone"]).await;
        assert_eq!((exit, &err[..4]), (1, "6013"));
        let (_, out, _) = run(&addrs, &["--json", "status"]).await;
        assert_eq!(serde_json::from_str::<Value>(&out).unwrap()["offset"], 9);
    });
}

/// Guards against reporting success when another program responds at the address.
#[test]
fn malformed_response() {
    task::block_on(async {
        let server = HttpServer::start(|_, _| async {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body("<html>");
            Ok(response)
        })
        .await;
        assert_eq!(run(&[server.addr()], &["status"]).await.0, 6);
    });
}

/// Guards against ignoring `--token-file` when the environment also holds a token.
#[test]
fn token_from_file() {
    task::block_on(async {
        let (_, server) = start(FakeServer::default()).await;
        let file = TempFile::new("token", format!("{TOKEN}\n").as_bytes());
        let args = ["--token-file", file.path(), "moves"];
        let mut command = command(&[server.addr()], &args);
        command.env("HIBISCUS_TOKEN", "other");
        assert_eq!(run_command(command).await.0, 0);
    });
}
