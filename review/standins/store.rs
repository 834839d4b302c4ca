//! Stand-in for the platform's store: the log calls that the gateway uses.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, read_message, respond};

/// Records of one partition, and the newest offset and value of each key.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Contents {
    topics: HashMap<String, Topic>,
}

/// A running store. Clones share its contents.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Appends a record of a keyed topic; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        self.append(topic, content);
    }

    fn append(&self, topic: &str, content: Vec<u8>) -> u64 {
        let mut contents = self.shared.0.lock().unwrap();
        let topic = contents.topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        if let Some((len, rest)) = content.split_first()
            && let Some((key, value)) = rest.split_at_checked(usize::from(*len))
        {
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (offset, value.to_vec()));
            }
        }
        topic.records.push(content);
        self.shared.1.notify_all();
        offset
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Ok(Some(request)) = read_message(stream, &mut input) {
            let (status, body) = self.handle(&request);
            if respond(stream, status, "Store-Era: 1\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |key| request.query(key).and_then(|t| t.parse::<u64>().ok());
        match request.path() {
            "/-/log-append" => self.append_all(&topic, number("at"), &request.body),
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.read(&topic, number("from").unwrap_or(0), wait)
            }
            _ => (404, Vec::new()),
        }
    }

    fn append_all(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        thread::sleep(Duration::from_millis(4));
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let end = {
            let contents = self.shared.0.lock().unwrap();
            let records = contents.topics.get(topic).map_or(0, |t| t.records.len());
            records as u64
        };
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut rest = body;
        let mut last = end;
        while let Some((len, tail)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            let Some((content, tail)) = tail.split_at_checked(len) else {
                return (400, Vec::new());
            };
            last = self.append(topic, content.to_vec()) + 1;
            rest = tail;
        }
        let body = format!("{{\"offset\":{end},\"end\":{last}}}");
        (200, body.into_bytes())
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let contents = self.shared.0.lock().unwrap();
        let empty = Topic::default();
        let topic = contents.topics.get(topic).unwrap_or(&empty);
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = topic.records.len();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut contents = self.shared.0.lock().unwrap();
        loop {
            let records = contents.topics.get(topic).map(|t| &t.records[..]);
            let records = records.unwrap_or_default();
            let end = records.len() as u64;
            if from > end {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut bytes = end.to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[usize::try_from(from).unwrap_or(usize::MAX)..] {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return (200, bytes);
            }
            contents = self.shared.1.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = number >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
