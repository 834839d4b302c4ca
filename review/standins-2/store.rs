//! Stand-in for the platform's store: keyed topics with one partition each. It answers at once. It can be
//! away for a moment and come back from a copy some seconds old.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Channel, Message, response};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        if let Some((length, rest)) = record.split_first()
            && let Some((key, value)) = rest.split_at_checked(usize::from(*length))
        {
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest
                    .insert(key, (self.records.len(), value.to_vec()));
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Number that rises each time that the store comes back from a copy.
    era: AtomicU64,
    is_away: AtomicBool,
}

/// The contents of the store at one moment.
pub struct Copy(HashMap<String, Topic>);

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let store = Self {
            addr,
            shared: Arc::default(),
        };
        store.shared.era.store(1, Ordering::SeqCst);
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.topics.lock().unwrap().clone())
    }

    /// Makes the store go away: it answers no calls, also of the operator and the targets.
    pub fn go_away(&self) {
        self.shared.is_away.store(true, Ordering::SeqCst);
    }

    /// Makes the store come back from a copy.
    pub fn come_back(&self, copy: Copy) {
        *self.shared.topics.lock().unwrap() = copy.0;
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        self.shared.is_away.store(false, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Writes the value of a key, as the operator and the targets do. An empty value removes the key.
    /// While the store is away, nothing is written.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        if self.shared.is_away.load(Ordering::SeqCst) {
            return;
        }
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(record);
        self.shared.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.shared.topics.lock().unwrap();
        let (_, value) = topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(request) = channel.read() {
            let is_away = || self.shared.is_away.load(Ordering::SeqCst);
            if is_away() {
                return;
            }
            let (status, body) = self.answer(&request);
            let era = format!("Store-Era: {}\r\n", self.shared.era.load(Ordering::SeqCst));
            let bytes = response(status, &era, &body);
            if is_away() || channel.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let number = |key: &str| request.query(key).and_then(|n| n.parse::<u64>().ok());
        match request.path() {
            "/-/log-append" => self.append(topic, number("at"), &request.body),
            "/-/log-newest" => self.newest(topic, request.query("after").unwrap_or_default()),
            "/-/log-read" => self.read(
                topic,
                number("from").unwrap_or_default() as usize,
                number("wait_ms").unwrap_or_default().min(30_000),
            ),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, name: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut topics = self.shared.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|at| at != offset as u64) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let Some((record, rest)) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)
            else {
                return (400, Vec::new());
            };
            topic.append(record.to_vec());
            body = rest;
        }
        let end = topic.records.len();
        self.shared.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn newest(&self, name: &str, after: &str) -> (u16, Vec<u8>) {
        let mut topics = self.shared.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let keys = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = keys
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        (200, body.into_bytes())
    }

    fn read(&self, name: &str, from: usize, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len();
            if from > end {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &topic.records[from..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            topics = self.shared.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place > chunk.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(group >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    text
}
