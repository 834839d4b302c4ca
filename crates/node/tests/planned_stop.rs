//! SIGTERM to the real program. Guards against calls that a planned stop cuts, and against a stop that
//! callers learn of too late (P9).

mod common;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{io::WriteExt, net::TcpStream, task};
use model::Settings;
use wire::EntryState;

use common::{Act, Asked, Platform, RawUpstream, Reply, call_head, read_all, wait_ready};

/// The program with its own settings file.
struct Program {
    child: Child,
    entry: SocketAddr,
    file: PathBuf,
}

impl Program {
    async fn start(platform: &Platform, name: &str) -> Self {
        let text = format!("{}stop_ms = 3000\nthreads = 2\n", platform.settings_text());
        let entry = Settings::parse("test", &text).unwrap().listen;
        let file = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
        fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscusway"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let program = Self { child, entry, file };
        wait_ready(entry).await;
        program
    }

    fn signal(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    async fn wait(&mut self) -> Option<i32> {
        for _ in 0..1_500 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            task::sleep(Duration::from_millis(10)).await;
        }
        panic!("the program does not end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// What the callers of a test saw.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    refused: AtomicU64,
}

/// Calls on kept connections as a caller does: connects again when told to close, and repeats a call
/// that was refused without running. Any other end of a call fails the test.
async fn call_on(entry: SocketAddr, until: Arc<AtomicBool>, seen: Arc<Seen>) {
    let mut kept: Option<TcpStream> = None;
    while !until.load(Ordering::SeqCst) {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(entry).await.unwrap(),
        };
        stream
            .write_all(&call_head("confirmation", "", 0))
            .await
            .unwrap();
        let reply = read_answer(&mut stream).await;
        if reply.header("hw-outcome") == Some("not-run") {
            seen.refused.fetch_add(1, Ordering::SeqCst);
            task::sleep(Duration::from_millis(5)).await;
        } else {
            assert_eq!(reply.result(), (200, 1000, "served"), "{reply:?}");
            seen.served.fetch_add(1, Ordering::SeqCst);
        }
        if reply.header("connection") != Some("close") {
            kept = Some(stream);
        }
    }
}

/// Reads one answer: its body is `ok` or the line of a refusal.
async fn read_answer(stream: &mut TcpStream) -> Reply {
    use async_std::io::ReadExt;
    let mut bytes = Vec::new();
    let mut buf = [0; 1_024];
    while !is_whole(&bytes) {
        let count = stream.read(&mut buf).await.unwrap();
        assert!(count > 0, "cut: {}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&buf[..count]);
    }
    Reply::parse(&String::from_utf8_lossy(&bytes))
}

/// Whether `bytes` hold a whole answer with a `content-length`.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    length.and_then(|l| l.trim().parse().ok()) == Some(body.len())
}

#[test]
fn sigterm_under_load_cuts_nothing() {
    task::block_on(async {
        let script = |asked: &Asked| vec![Act::Pause(10), Act::Send(asked.answer("ok"))];
        let upstream = RawUpstream::start(true, script).await;
        let platform = Platform::start(upstream.addr, 8).await;
        let mut program = Program::start(&platform, "sigterm-load").await;
        let (until, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
        let callers: Vec<_> = (0..6)
            .map(|_| {
                let (until, seen) = (Arc::clone(&until), Arc::clone(&seen));
                task::spawn(call_on(program.entry, until, seen))
            })
            .collect();
        task::sleep(Duration::from_millis(200)).await;
        let before = seen.served.load(Ordering::SeqCst);
        assert!(before > 0);
        // Until the target is warm, calls beyond its cold limit are refused.
        let cold = seen.refused.load(Ordering::SeqCst);
        let start = Instant::now();
        program.signal();
        // Callers use the address up to the end of list lag and answer age.
        task::sleep(Duration::from_millis(4_200)).await;
        let during = seen.served.load(Ordering::SeqCst);
        assert!(during > before, "no call was served while leaving");
        let entries = platform.list.entries();
        let own = entries.iter().find(|e| e.id == "i-1").unwrap();
        assert_eq!(own.state, EntryState::Leaving);
        until.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await;
        }
        assert_eq!(program.wait().await, Some(0));
        let took = start.elapsed();
        assert!(took >= Duration::from_millis(4_400), "left after {took:?}");
        assert!(took < Duration::from_secs(8), "left after {took:?}");
        let (served, refused) = (
            seen.served.load(Ordering::SeqCst),
            seen.refused.load(Ordering::SeqCst),
        );
        assert_eq!(upstream.count() as u64, served);
        // Refusing is allowed when a burst exceeds the allowed delay, but not as the way to stop.
        let refused = refused - cold;
        assert!(
            refused * 100 <= served,
            "{refused} refused, {served} served"
        );
    });
}

#[test]
fn sigterm_waits_for_running_call_and_closes_idle() {
    task::block_on(async {
        let script = |asked: &Asked| {
            let pause = if asked.body.is_empty() { 0 } else { 6_000 };
            vec![Act::Pause(pause), Act::Send(asked.answer("ok"))]
        };
        let upstream = RawUpstream::start(true, script).await;
        let platform = Platform::start(upstream.addr, 8).await;
        let mut program = Program::start(&platform, "sigterm-wait").await;
        let mut idle = TcpStream::connect(program.entry).await.unwrap();
        idle.write_all(&call_head("lookup", "", 0)).await.unwrap();
        assert_eq!(read_answer(&mut idle).await.code(), 1000);
        let mut long = TcpStream::connect(program.entry).await.unwrap();
        let mut bytes = call_head("confirmation", "hw-deadline-ms: 9000\r\n", 1);
        bytes.push(b'x');
        long.write_all(&bytes).await.unwrap();
        program.signal();
        assert_eq!(read_all(&mut idle).await, "");
        let reply = Reply::parse(&read_all(&mut long).await);
        assert_eq!(reply.result(), (200, 1000, "served"));
        assert_eq!(reply.header("connection"), Some("close"));
        // The caller keeps its end open; that must not hold up the stop.
        assert_eq!(program.wait().await, Some(0));
        drop((idle, long));
    });
}

#[test]
fn sigterm_twice_ends_at_once() {
    task::block_on(async {
        let upstream = RawUpstream::start(true, |_| vec![Act::Silence]).await;
        let platform = Platform::start(upstream.addr, 8).await;
        let mut program = Program::start(&platform, "sigterm-twice").await;
        let start = Instant::now();
        program.signal();
        task::sleep(Duration::from_millis(100)).await;
        program.signal();
        assert_eq!(program.wait().await, Some(4));
        assert!(start.elapsed() < Duration::from_secs(2));
    });
}

#[test]
fn sigterm_while_list_is_down() {
    task::block_on(async {
        let script = |asked: &Asked| vec![Act::Send(asked.answer("ok"))];
        let upstream = RawUpstream::start(true, script).await;
        let platform = Platform::start(upstream.addr, 8).await;
        let mut program = Program::start(&platform, "sigterm-list").await;
        platform.list.set_down(true);
        program.signal();
        task::sleep(Duration::from_millis(700)).await;
        let mut caller = TcpStream::connect(program.entry).await.unwrap();
        let text = "GET /v1/addresses?service=orders&zone=a HTTP/1.1\r\nhost: h\r\n\r\n";
        caller.write_all(text.as_bytes()).await.unwrap();
        let reply = Reply::parse(&read_all(&mut caller).await);
        assert_eq!(reply.status, 200);
        let own = program.entry.to_string();
        assert!(!reply.body.contains(&own), "{reply:?}");
        platform.list.set_down(false);
        assert_eq!(program.wait().await, Some(0));
        let entries = platform.list.entries();
        let own = entries.iter().find(|e| e.id == "i-1").unwrap();
        assert_eq!(own.state, EntryState::Leaving);
    });
}
