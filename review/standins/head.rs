//! A client pipelines a `HEAD` and a `GET` on a kept channel. A manifest removes the route of the `HEAD`.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::{Message, find, send_text},
    record::Record,
    rig::{Rig, Times, publish_routes, request},
    target::Spec,
};

/// Pairs of requests of each client.
const PAIRS: u32 = 60;
/// One pair of so many has its `HEAD` on the route that is removed; the others use a route that stays.
const REMOVED_EACH: u32 = 6;
/// Time between two pairs.
const GAP: Duration = Duration::from_millis(150);
/// Time from the first pair to the manifest.
const CHANGE_AFTER: Duration = Duration::from_secs(3);
/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 800;

/// A kept channel with the bytes that were read from it and not used yet.
struct Channel {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Channel {
    fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        Ok(Self {
            stream,
            input: Vec::new(),
        })
    }

    /// Reads until `is_enough` of the input.
    fn read_until(&mut self, is_enough: impl Fn(&[u8]) -> bool) -> io::Result<()> {
        let mut chunk = vec![0; 16 * 1024];
        while !is_enough(&self.input) {
            let count = self.stream.read(&mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.input.extend_from_slice(&chunk[..count]);
        }
        Ok(())
    }

    /// Reads the head of an answer. Returns the bytes that stand in its place if they are none.
    fn read_head(&mut self) -> io::Result<Result<Message, String>> {
        self.read_until(|input| input.len() >= 9)?;
        if !self.input.starts_with(b"HTTP/1.1 ") {
            let shown = &self.input[..self.input.len().min(60)];
            return Ok(Err(String::from_utf8_lossy(shown).into_owned()));
        }
        self.read_until(|input| find(input, b"\r\n\r\n").is_some())?;
        let end = find(&self.input, b"\r\n\r\n").unwrap_or_default();
        let head: Vec<u8> = self.input.drain(..end + 4).collect();
        Ok(Ok(Message::from_head(&head[..end])))
    }

    /// Reads the answers to a `HEAD` and a `GET`. Returns the status of both, or the bytes that are no
    /// answer.
    fn read_pair(&mut self) -> io::Result<Result<(u16, u16), String>> {
        let first = match self.read_head()? {
            Ok(first) => first,
            Err(bytes) => return Ok(Err(bytes)),
        };
        let second = match self.read_head()? {
            Ok(second) => second,
            Err(bytes) => return Ok(Err(bytes)),
        };
        let length = second.header("content-length").map(str::parse::<usize>);
        let length = length.and_then(Result::ok).unwrap_or_default();
        self.read_until(|input| input.len() >= length)?;
        self.input.drain(..length);
        Ok(Ok((first.status(), second.status())))
    }
}

/// Sends pairs on kept channels. Returns how many were answered, and how often bytes that are no answer
/// came.
fn press(addr: SocketAddr, name: &str, record: &Record) -> (u32, u32) {
    let (mut answered, mut broken) = (0, 0);
    let mut channel: Option<Channel> = None;
    for number in 0..PAIRS {
        thread::sleep(GAP);
        let Some(mut open) = channel.take().or_else(|| Channel::open(addr).ok()) else {
            record.line(&format!("{name} finds no channel"));
            continue;
        };
        let (head, get) = (format!("{name}-h{number}"), format!("{name}-g{number}"));
        let folder = if number % REMOVED_EACH == REMOVED_EACH - 1 {
            "old"
        } else {
            "read"
        };
        let pair = [
            request("HEAD", &format!("/{folder}/{head}"), &head, DEADLINE_MS, 0),
            request("GET", &format!("/read/{get}"), &get, DEADLINE_MS, 0),
        ];
        record.line(&format!(
            "HEAD /{folder}/{head} and GET /read/{get} are sent"
        ));
        let result = send_text(&open.stream, &pair.concat()).and_then(|()| open.read_pair());
        match result {
            Ok(Ok((first, second))) => {
                record.line(&format!("{head} gets {first}, {get} gets {second}"));
                answered += 1;
                channel = Some(open);
            }
            Ok(Err(bytes)) => {
                record.line(&format!("where an answer is due comes {bytes:?}"));
                broken += 1;
            }
            Err(error) => record.line(&format!("{head} and {get}: {error}")),
        }
    }
    (answered, broken)
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let specs = (0..4).map(|n| Spec {
        work: Duration::from_millis(30),
        ..Spec::new(&format!("i-{n}"), "orders", ["a", "b"][n % 2])
    });
    let times = Times {
        timeout_s: 0.8,
        aim_s: 0.25,
    };
    let mut rig = match Rig::start(specs.collect(), 2, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    publish_routes(&rig.store, 2, times, &[("idempotent", "old", 2)]);
    thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    let clients = rig.gateways.iter().enumerate().map(|(number, gateway)| {
        let (addr, record) = (gateway.callers(), record.clone());
        thread::spawn(move || press(addr, &format!("c{number}"), &record))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(CHANGE_AFTER.saturating_sub(start.elapsed()));
    if has_trouble {
        publish_routes(&rig.store, 5, times, &[]);
        record.line("a manifest removes the route /old/");
    }
    let (mut answered, mut broken) = (0, 0);
    for client in clients {
        let (of_answered, of_broken) = client.join().unwrap_or_default();
        answered += of_answered;
        broken += of_broken;
    }
    rig.gateways.clear();
    let all = PAIRS * 2;
    record.say(&format!(
        "of {all} pairs {answered} were answered; {broken} times came bytes that are no answer"
    ));
    if !has_trouble && answered < all * 9 / 10 {
        return Outcome::Failed(String::from(
            "too few pairs were answered without the trouble",
        ));
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
