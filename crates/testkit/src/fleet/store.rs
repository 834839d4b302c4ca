//! Stand-in for the platform's store: topics with one partition, whose records may have keys.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use base64::{Engine, prelude::BASE64_STANDARD};
use h1::{Request, RequestDecoder};
use serde_json::json;

use super::http::{next_request, respond};

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most items in a page of a listing.
const PAGE_ITEMS: usize = 500;
/// Most bytes in a page of a listing or in the response to a read, unless one record is larger.
const PAGE_BYTES: usize = 1 << 20;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works correctly.
    None,
    /// Refuses all requests with this status.
    Refuse(u16),
    /// Accepts requests and never answers.
    Silent,
    /// Performs appends but does not answer them.
    LoseAnswers,
    /// Answers all requests with a body that has no length and never ends.
    Endless,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<Vec<u8>>,
}

impl Topic {
    /// Offset of the next record.
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

/// The contents of a store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    topics: HashMap<String, Topic>,
    /// Latest offset and value of each key, by topic. Bytes of a key that are not UTF-8 are replaced.
    latest: HashMap<String, BTreeMap<String, (u64, Vec<u8>)>>,
    /// Items in JSON that the listing of a topic has besides the records.
    odd_items: HashMap<String, Vec<String>>,
}

#[derive(Debug)]
struct StoreState {
    contents: StoreCopy,
    /// Number of the era, which all responses state. It rises when a copy is restored.
    era: u64,
    fault: StoreFault,
    /// Whether answers are held back.
    is_held: bool,
    request_count: u64,
}

/// Other addresses by the addresses of targets.
type AddressMap = BTreeMap<SocketAddr, SocketAddr>;

/// A running store. Clones share its contents.
#[derive(Clone, Debug)]
pub struct FleetStore {
    /// Address that the store listens on.
    pub addr: SocketAddr,
    shared: Arc<Mutex<StoreState>>,
    /// Addresses that its answers name in place of others.
    addresses: Arc<AddressMap>,
}

impl FleetStore {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(StoreState {
            contents: StoreCopy::default(),
            era: 1,
            fault: StoreFault::None,
            is_held: false,
            request_count: 0,
        }));
        Self::listen(shared, AddressMap::new()).await
    }

    /// Starts a listener that serves the same contents, but names other `addresses` of targets.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn view(&self, addresses: BTreeMap<SocketAddr, SocketAddr>) -> io::Result<Self> {
        Self::listen(Arc::clone(&self.shared), addresses).await
    }

    async fn listen(shared: Arc<Mutex<StoreState>>, addresses: AddressMap) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            addr: listener.local_addr()?,
            shared,
            addresses: Arc::new(addresses),
        };
        let server = store.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(server.clone().serve(stream));
            }
        });
        Ok(store)
    }

    /// Makes the store show `fault` from the next request on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Holds back the answers to requests from now on, or sends those that were held back.
    pub fn set_held(&self, is_held: bool) {
        self.lock().is_held = is_held;
    }

    /// Returns the number of requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.lock().request_count
    }

    /// Appends a record with a key, as the operator or a target does. An empty value removes the
    /// key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key.as_bytes(), value.as_bytes());
    }

    /// Appends a record whose key and value may be any bytes, as another writer may.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        content.extend_from_slice(key);
        content.extend_from_slice(value);
        self.lock().append(topic, content);
    }

    /// Appends a record of a keyed topic that does not have the form of a key and a value.
    pub fn put_record(&self, topic: &str, content: &[u8]) {
        self.lock().append(topic, content.to_vec());
    }

    /// Adds items, given as JSON, to the first page of each listing of a topic.
    pub fn set_odd_items(&self, topic: &str, items: &[&str]) {
        let items = items.iter().map(|item| (*item).to_owned()).collect();
        let mut shared = self.lock();
        shared.contents.odd_items.insert(topic.to_owned(), items);
    }

    /// Returns the latest value of a key.
    #[must_use]
    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let shared = self.lock();
        let (_, value) = shared.contents.latest.get(topic)?.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns all values that were written for a key and are still retained, oldest first.
    #[must_use]
    pub fn history(&self, topic: &str, key: &str) -> Vec<String> {
        let shared = self.lock();
        let records = shared
            .contents
            .topics
            .get(topic)
            .map(|t| &t.records[..])
            .unwrap_or_default();
        let parsed = records.iter().filter_map(|r| split_key(r));
        parsed
            .filter(|(k, _)| *k == key.as_bytes())
            .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
            .collect()
    }

    /// Discards the records of a topic, but keeps the latest value of each key.
    pub fn discard_records(&self, topic: &str) {
        let mut shared = self.lock();
        if let Some(topic) = shared.contents.topics.get_mut(topic) {
            topic.first_offset = topic.end_offset();
            topic.records.clear();
        }
    }

    /// Returns a copy of the contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        self.lock().contents.clone()
    }

    /// Replaces the contents by an earlier copy. What was written since is lost, and its offsets are
    /// given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut shared = self.lock();
        shared.contents = copy;
        shared.era += 1;
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
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
                shared.request_count += 1;
                shared.fault
            };
            let (status, body) = match fault {
                StoreFault::Refuse(status) => (status, Vec::new()),
                StoreFault::Silent => return self.hold_open(stream).await,
                StoreFault::Endless => return send_endlessly(&stream).await,
                StoreFault::None | StoreFault::LoseAnswers => self.handle(&request).await,
            };
            if self.lock().fault == StoreFault::Silent
                || (fault == StoreFault::LoseAnswers && request.method == "POST")
            {
                return self.hold_open(stream).await;
            }
            while self.lock().is_held {
                task::sleep(POLL_INTERVAL).await;
            }
            let head = format!("Store-Era: {}\r\n", self.lock().era);
            if respond(&stream, status, &head, &body).await.is_err() {
                return;
            }
        }
    }

    /// Keeps a connection open for a minute without an answer.
    async fn hold_open(&self, stream: TcpStream) {
        task::sleep(Duration::from_mins(1)).await;
        drop(stream);
    }

    async fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |key| request.query(key).and_then(|text| text.parse::<u64>().ok());
        match request.path() {
            "/-/log-append" => self.append(&topic, number("at"), &request.body.to_vec()),
            "/-/log-newest" => {
                let after = request.query("after").map(percent_decode);
                self.latest(&topic, after.as_deref())
            }
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
        let end = shared
            .contents
            .topics
            .get(topic)
            .map_or(0, Topic::end_offset);
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
        let new_end = shared
            .contents
            .topics
            .get(topic)
            .map_or(0, Topic::end_offset);
        (
            200,
            json!({ "offset": end, "end": new_end })
                .to_string()
                .into_bytes(),
        )
    }

    /// Returns one page of the newest records: those whose keys come after `after`.
    fn latest(&self, topic: &str, after: Option<&str>) -> (u16, Vec<u8>) {
        let shared = self.lock();
        let contents = &shared.contents;
        let end = contents.topics.get(topic).map_or(0, Topic::end_offset);
        let mut items: Vec<String> = Vec::new();
        if after.is_none() {
            items.extend(contents.odd_items.get(topic).into_iter().flatten().cloned());
        }
        let latest = contents.latest.get(topic).into_iter().flatten();
        let mut left = latest.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let (mut bytes, mut has_more) = (0, false);
        for (key, (offset, value)) in left.by_ref() {
            let value = BASE64_STANDARD.encode(self.translate(value));
            let item = json!({ "key": key, "value": value, "offset": offset }).to_string();
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        let items = items.join(",");
        let body = format!(r#"{{"items":[{items}],"has_more":{has_more},"end":{end}}}"#);
        (200, body.into_bytes())
    }

    async fn read(&self, topic: &str, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let mut wait_left = Duration::from_millis(wait_ms);
        loop {
            let (first, end) = {
                let shared = self.lock();
                let topic = shared.contents.topics.get(topic);
                topic.map_or((0, 0), |t| (t.first_offset, t.end_offset()))
            };
            if from < first || from > end {
                return (410, json!({ "first": first }).to_string().into_bytes());
            }
            if from < end || wait_left.is_zero() {
                return (200, self.encode_records(topic, from));
            }
            task::sleep(POLL_INTERVAL).await;
            wait_left = wait_left.saturating_sub(POLL_INTERVAL);
        }
    }

    /// Encodes the records of a topic from the offset `from` on, after the end and first offsets.
    fn encode_records(&self, topic: &str, from: u64) -> Vec<u8> {
        let shared = self.lock();
        let Some(topic) = shared.contents.topics.get(topic) else {
            return vec![0; 16];
        };
        let mut bytes = topic.end_offset().to_be_bytes().to_vec();
        bytes.extend_from_slice(&topic.first_offset.to_be_bytes());
        let skip = usize::try_from(from.saturating_sub(topic.first_offset)).unwrap_or(usize::MAX);
        for record in topic.records.iter().skip(skip) {
            if bytes.len() > 16 && bytes.len() + record.len() > PAGE_BYTES {
                break;
            }
            let record = self.translate(record);
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(&record);
        }
        bytes
    }

    /// Replaces the addresses of targets in a record.
    fn translate(&self, record: &[u8]) -> Vec<u8> {
        let Ok(text) = str::from_utf8(record) else {
            return record.to_vec();
        };
        let mut text = text.to_owned();
        for (from, to) in &*self.addresses {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        text.into_bytes()
    }
}

impl StoreState {
    fn append(&mut self, name: &str, content: Vec<u8>) {
        let topic = self.contents.topics.entry(name.to_owned()).or_default();
        let offset = topic.end_offset();
        if let Some((key, value)) = split_key(&content) {
            let latest = self.contents.latest.entry(name.to_owned()).or_default();
            let key = String::from_utf8_lossy(key);
            if value.is_empty() {
                latest.remove(&*key);
            } else {
                latest.insert(key.into_owned(), (offset, value.to_vec()));
            }
        }
        topic.records.push(content);
    }
}

/// Splits a record into its key, which is preceded by its length in one byte, and its value.
fn split_key(content: &[u8]) -> Option<(&[u8], &[u8])> {
    let (len, rest) = content.split_first()?;
    rest.split_at_checked(usize::from(*len))
}

/// Decodes a value of a query. A plus sign stands for a space, as in forms, which some servers follow.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = tail.get(..2).and_then(|hex| str::from_utf8(hex).ok());
        let escaped = escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (*first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = tail;
            }
            (byte, _) => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends the head of a response, and then its body until the other side closes the connection.
async fn send_endlessly(mut stream: &TcpStream) {
    let block = vec![b' '; 64 * 1_024];
    let mut is_open = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.is_ok();
    while is_open {
        is_open = stream.write_all(&block).await.is_ok();
    }
}
