//! Long uploads, whose targets answer early and without a length. Some channels are reset on the way, or
//! some targets are slow.

use std::{
    env,
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome,
    http::{Message, find, read_message, respond, send_text},
    record::Record,
    rig::{Rig, Times, request},
    store::Store,
};

/// Size of an upload, in bytes. The manifest allows 67108864.
const UPLOAD: usize = 8 * 1024 * 1024;
/// Size of each half of an answer, in bytes.
const HALF: usize = 50_000;
/// Uploads of each client.
const UPLOADS: u32 = 15;
/// Of the channels that carry an upload, each sixth is reset.
const RESET_EACH: u32 = 6;
/// Time between the halves of an answer. The target does not read on meanwhile.
const PAUSE: Duration = Duration::from_millis(200);
/// The same at a slow target: eight times as long. The site file has up to 12 times.
const SLOW_PAUSE: Duration = Duration::from_millis(1_600);
/// Time from the first half of an answer to the reset.
const RESET_AFTER: Duration = Duration::from_millis(80);
/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(1);

/// Returns the body of the answer to a request.
fn answer_body(id: &str) -> Vec<u8> {
    let line = format!("answer to {id}\n");
    line.bytes().cycle().take(2 * HALF).collect()
}

/// What disturbs the targets or the way to them.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    /// Nothing, but the targets are reached through proxies.
    Proxies,
    /// The proxies reset channels.
    Resets,
    /// Nothing; the targets are reached directly.
    None,
    /// Two targets of five are slow.
    Slow,
}

impl Trouble {
    fn chosen(has_trouble: bool) -> Self {
        let is_slow = env::var("VARIANT").as_deref() == Ok("slow");
        match (is_slow, has_trouble) {
            (false, false) => Self::Proxies,
            (false, true) => Self::Resets,
            (true, false) => Self::None,
            (true, true) => Self::Slow,
        }
    }

    fn pause(self, number: usize) -> Duration {
        if self == Self::Slow && number < 2 {
            SLOW_PAUSE
        } else {
            PAUSE
        }
    }
}

/// Starts and registers a target. `uploads` counts the channels that carry uploads.
fn start_target(
    rig: &Rig,
    number: usize,
    trouble: Trouble,
    uploads: &Arc<AtomicU32>,
    record: &Record,
) {
    let (id, zone) = (format!("i-{number}"), ["a", "b", "c"][number % 3]);
    let pause = trouble.pause(number);
    let listener = TcpListener::bind((rig.ip(), 0)).expect("an address for a target");
    let addr = listener.local_addr().expect("the address of a target");
    let (own, target_record) = (id.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (own, record) = (own.clone(), target_record.clone());
            thread::spawn(move || serve(&stream, &own, pause, &record));
        }
    });
    let via = match trouble {
        Trouble::Proxies => start_proxy(rig.ip(), addr, None, record),
        Trouble::Resets => start_proxy(rig.ip(), addr, Some(Arc::clone(uploads)), record),
        Trouble::None | Trouble::Slow => addr,
    };
    register(&rig.store, &id, zone, via);
}

/// Writes the entry of a target at each heartbeat.
fn register(store: &Store, id: &str, zone: &str, addr: SocketAddr) {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = since.unwrap_or_default().as_millis();
    let (store, id, zone) = (store.clone(), id.to_owned(), zone.to_owned());
    let write = move |seq: u64| {
        let entry = format!(
            "{{\"service\":\"orders\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"warmup_left_s\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        store.put("keyed.servers", &id, &entry);
    };
    write(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            write(seq);
        }
    });
}

/// Serves one channel of a target.
fn serve(stream: &TcpStream, own: &str, pause: Duration, record: &Record) -> Option<()> {
    let mut input = Vec::new();
    loop {
        let request = read_head(stream, &mut input).ok()??;
        if request.path() == "/healthz" {
            let head = format!(
                "X-Hibiscusway-Instance-Id: {own}\r\nX-Hibiscusway-Server-Load: 0,0,3,100\r\n"
            );
            respond(stream, 200, &head, b"").ok()?;
            continue;
        }
        let id = request.id().to_owned();
        let expected = request.header("x-hibiscusway-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let head = format!("X-Hibiscusway-Request-Id: {id}\r\nConnection: close\r\n");
            return respond(stream, 421, &head, b"").ok();
        }
        let length: usize = request.header("content-length")?.parse().ok()?;
        record.line(&format!("{own} runs {id}"));
        let is_whole = answer_early(stream, &id, pause, length - input.len()).is_ok();
        let what = if is_whole {
            "whole answer"
        } else {
            "its channel was reset before the other half"
        };
        record.line(&format!("{own} has run {id}: {what}"));
        return None;
    }
}

/// Sends the first half of an answer, reads the `left` bytes of the upload that are not in yet, sends
/// the other half and ends the channel.
fn answer_early(
    mut stream: &TcpStream,
    id: &str,
    pause: Duration,
    mut left: usize,
) -> io::Result<()> {
    let body = answer_body(id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Hibiscusway-Request-Id: {id}\r\n\
         X-Hibiscusway-Response-Signature: s.{id}\r\n\r\n"
    );
    send_text(stream, &head)?;
    stream.write_all(&body[..HALF])?;
    thread::sleep(pause);
    let mut chunk = vec![0; 64 * 1024];
    while left > 0 {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        left -= count;
    }
    stream.write_all(&body[HALF..])?;
    stream.shutdown(Shutdown::Write)?;
    // Nothing is left unread, so that the channel ends without a reset.
    while stream.read(&mut chunk)? > 0 {}
    Ok(())
}

/// Reads the head of a request. `input` holds what was read beyond it.
fn read_head(mut stream: &TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 16 * 1024];
    loop {
        if let Some(end) = find(input, b"\r\n\r\n") {
            let head: Vec<u8> = input.drain(..end + 4).collect();
            return Ok(Some(Message::from_head(&head[..end])));
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        input.extend_from_slice(&chunk[..count]);
    }
}

/// Starts a proxy to `target`. With `uploads`, which counts the channels that carry uploads, it resets some
/// of these.
fn start_proxy(
    ip: &str,
    target: SocketAddr,
    uploads: Option<Arc<AtomicU32>>,
    record: &Record,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("an address for a proxy");
    let addr = listener.local_addr().expect("the address of a proxy");
    let record = record.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let (uploads, record) = (uploads.clone(), record.clone());
            thread::spawn(move || {
                if let Ok(far) = TcpStream::connect(target) {
                    let _ = relay(&near, &far, uploads.as_deref(), &record);
                }
            });
        }
    });
    addr
}

/// One direction of a relayed channel.
struct Flow {
    pending: Vec<u8>,
    is_ended: bool,
    /// Bytes passed on.
    passed: usize,
}

impl Flow {
    fn new() -> Self {
        Self {
            pending: Vec::new(),
            is_ended: false,
            passed: 0,
        }
    }

    /// Passes on what can be passed on without waiting.
    fn step(&mut self, mut from: &TcpStream, mut to: &TcpStream) -> io::Result<()> {
        if self.pending.is_empty() && !self.is_ended {
            let mut chunk = vec![0; 64 * 1024];
            match from.read(&mut chunk) {
                Ok(0) => {
                    self.is_ended = true;
                    let _ = to.shutdown(Shutdown::Write);
                }
                Ok(count) => self.pending.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        if !self.pending.is_empty() {
            match to.write(&self.pending) {
                Ok(count) => {
                    self.passed += count;
                    self.pending.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Relays a channel until both sides have ended it, or until it is reset.
fn relay(
    near: &TcpStream,
    far: &TcpStream,
    uploads: Option<&AtomicU32>,
    record: &Record,
) -> io::Result<()> {
    near.set_nonblocking(true)?;
    far.set_nonblocking(true)?;
    let (mut up, mut down) = (Flow::new(), Flow::new());
    let mut is_upload = false;
    let mut is_chosen = false;
    while !(up.is_ended && down.is_ended) {
        up.step(near, far)?;
        if !is_upload && up.passed > UPLOAD / 8 {
            is_upload = true;
            is_chosen = uploads.is_some_and(|count| {
                (count.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(RESET_EACH)
            });
        }
        down.step(far, near)?;
        if is_chosen && down.passed > HALF {
            thread::sleep(RESET_AFTER);
            // A part of the upload is unread, so that closing the socket resets the channel.
            record.line("a channel is reset");
            return Ok(());
        }
        thread::sleep(STEP);
    }
    Ok(())
}

/// What a client got.
enum Got {
    Whole,
    /// A success whose body is not the whole body of the target.
    Cut(usize),
    Other(String),
}

fn upload(addr: SocketAddr, id: &str) -> io::Result<Got> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let path = format!("/write/{id}");
    send_text(&stream, &request("POST", &path, id, DEADLINE_MS, UPLOAD))?;
    (&stream).write_all(&vec![b'x'; UPLOAD])?;
    let Some(answer) = read_message(&stream, &mut Vec::new())? else {
        return Ok(Got::Other(String::from("channel closed")));
    };
    let is_signed = answer.header("x-hibiscusway-response-signature").is_some();
    Ok(match answer.status() {
        200 if is_signed && answer.body == answer_body(id) => Got::Whole,
        200 if is_signed => Got::Cut(answer.body.len()),
        status => Got::Other(format!("status {status}")),
    })
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let times = Times {
        timeout_s: 3.0,
        aim_s: 1.0,
    };
    let mut rig = match Rig::start(Vec::new(), 2, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let trouble = Trouble::chosen(has_trouble);
    let uploads = Arc::default();
    for number in 0..5 {
        start_target(&rig, number, trouble, &uploads, record);
    }
    thread::sleep(Duration::from_secs(3));
    let clients = rig.gateways.iter().enumerate().map(|(number, gateway)| {
        let (addr, record) = (gateway.callers(), record.clone());
        thread::spawn(move || {
            let (mut whole, mut cut) = (0, 0);
            for upload_number in 0..UPLOADS {
                let id = format!("u-{number}-{upload_number}");
                record.line(&format!("{id} is sent"));
                let got = match upload(addr, &id) {
                    Ok(Got::Whole) => {
                        whole += 1;
                        String::from("200 and the whole body")
                    }
                    Ok(Got::Cut(count)) => {
                        cut += 1;
                        let all = 2 * HALF;
                        format!("a signed 200 that looks complete, with {count} of {all} bytes")
                    }
                    Ok(Got::Other(what)) => what,
                    Err(error) => error.to_string(),
                };
                record.line(&format!("{id} gets {got}"));
            }
            (whole, cut)
        })
    });
    let clients: Vec<_> = clients.collect();
    let (mut whole, mut cut) = (0, 0);
    for client in clients {
        let (of_whole, of_cut) = client.join().unwrap_or_default();
        whole += of_whole;
        cut += of_cut;
    }
    rig.gateways.clear();
    let all = UPLOADS * 2;
    record.say(&format!(
        "of {all} uploads {whole} got their whole answer, {cut} a cut one that looks complete"
    ));
    if !has_trouble && whole < all * 9 / 10 {
        return Outcome::Failed(String::from(
            "too few uploads were answered without the trouble",
        ));
    }
    if cut > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
