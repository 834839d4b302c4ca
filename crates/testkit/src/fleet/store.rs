//! Stand-in of the platform's store: topics with one partition, with or without keys.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use base64::{Engine, prelude::BASE64_STANDARD};
use h1::{Request, RequestDecoder};
use serde_json::json;

use super::http::{next_request, respond};

/// Time between two looks of a waiting read.
const LOOK: Duration = Duration::from_millis(5);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    None,
    /// Calls are refused with this status.
    Refuse(u16),
    /// Calls get no answer.
    Silent,
    /// Appends are done and not answered.
    LoseAnswers,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug)]
struct Shared {
    topics: HashMap<String, Topic>,
    newest: HashMap<String, BTreeMap<String, (u64, Vec<u8>)>>,
    fault: StoreFault,
    calls: u64,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct FleetStore {
    /// Its address.
    pub addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl FleetStore {
    /// Starts a store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::new(Mutex::new(Shared {
                topics: HashMap::new(),
                newest: HashMap::new(),
                fault: StoreFault::None,
                calls: 0,
            })),
        };
        let serving = store.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serving.clone().serve(stream));
            }
        });
        Ok(store)
    }

    /// Makes the store misbehave from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes a record with a key, as the operator or a target does. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        self.lock().append(topic, content);
    }

    /// The newest value of a key.
    #[must_use]
    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let shared = self.lock();
        let (_, value) = shared.newest.get(topic)?.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// All values that a key ever had, in order.
    #[must_use]
    pub fn history(&self, topic: &str, key: &str) -> Vec<String> {
        let shared = self.lock();
        let records = shared
            .topics
            .get(topic)
            .map(|t| &t.records[..])
            .unwrap_or_default();
        let parsed = records.iter().filter_map(|r| split_key(r));
        parsed
            .filter(|(k, _)| *k == key)
            .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
            .collect()
    }

    /// Forgets the records of a topic; the newest of each key stays.
    pub fn drop_history(&self, topic: &str) {
        let mut shared = self.lock();
        if let Some(topic) = shared.topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn serve(self, stream: TcpStream) {
        let mut decoder = RequestDecoder::default();
        let mut input = Vec::new();
        while let Ok(Some(request)) = next_request(&stream, &mut decoder, &mut input).await {
            let fault = {
                let mut shared = self.lock();
                shared.calls += 1;
                shared.fault
            };
            let (status, body) = match fault {
                StoreFault::Refuse(status) => (status, Vec::new()),
                StoreFault::Silent => return self.hold(stream).await,
                StoreFault::None | StoreFault::LoseAnswers => self.answer(&request).await,
            };
            if self.lock().fault == StoreFault::Silent
                || (fault == StoreFault::LoseAnswers && request.method == "POST")
            {
                return self.hold(stream).await;
            }
            if respond(&stream, status, "", &body).await.is_err() {
                return;
            }
        }
    }

    /// Keeps a connection open without an answer.
    async fn hold(&self, stream: TcpStream) {
        task::sleep(Duration::from_mins(1)).await;
        drop(stream);
    }

    async fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |key| request.query(key).and_then(|text| text.parse::<u64>().ok());
        match request.path() {
            "/-/log-append" => self.append(&topic, number("at"), &request.body),
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => {
                let (from, wait) = (number("from").unwrap_or(0), number("wait_ms").unwrap_or(0));
                self.read(&topic, from, wait).await
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut shared = self.lock();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let end = shared.topics.get(topic).map_or(0, Topic::end);
        if at.is_some_and(|at| at != end) {
            return (412, json!({ "end": end }).to_string().into_bytes());
        }
        let mut rest = body;
        while let Some((len, tail)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            let Some((content, tail)) = tail.split_at_checked(len) else {
                return (400, Vec::new());
            };
            shared.append(topic, content.to_vec());
            rest = tail;
        }
        let new_end = shared.topics.get(topic).map_or(0, Topic::end);
        (
            200,
            json!({ "offset": end, "end": new_end })
                .to_string()
                .into_bytes(),
        )
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let shared = self.lock();
        let end = shared.topics.get(topic).map_or(0, Topic::end);
        let newest = shared.newest.get(topic).into_iter().flatten();
        let items: Vec<_> = newest
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": BASE64_STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let body = json!({ "items": items, "has_more": false, "end": end });
        (200, body.to_string().into_bytes())
    }

    async fn read(&self, topic: &str, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let mut left = Duration::from_millis(wait_ms);
        loop {
            let (first, end) = {
                let shared = self.lock();
                let known = shared.topics.get(topic);
                known.map_or((0, 0), |t| (t.first, t.end()))
            };
            if from < first {
                return (410, json!({ "first": first }).to_string().into_bytes());
            }
            if from < end || left.is_zero() {
                return (200, self.records(topic, from));
            }
            task::sleep(LOOK).await;
            left = left.saturating_sub(LOOK);
        }
    }

    fn records(&self, topic: &str, from: u64) -> Vec<u8> {
        let shared = self.lock();
        let Some(topic) = shared.topics.get(topic) else {
            return vec![0; 16];
        };
        let mut bytes = topic.end().to_be_bytes().to_vec();
        bytes.extend_from_slice(&topic.first.to_be_bytes());
        let skip = usize::try_from(from.saturating_sub(topic.first)).unwrap_or(usize::MAX);
        for record in topic.records.iter().skip(skip) {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        bytes
    }
}

impl Shared {
    fn append(&mut self, name: &str, content: Vec<u8>) {
        let topic = self.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        if let Some((key, value)) = split_key(&content) {
            let newest = self.newest.entry(name.to_owned()).or_default();
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key.to_owned(), (offset, value.to_vec()));
            }
        }
        topic.records.push(content);
    }
}

fn split_key(content: &[u8]) -> Option<(&str, &[u8])> {
    let (len, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*len))?;
    Some((str::from_utf8(key).ok()?, value))
}
