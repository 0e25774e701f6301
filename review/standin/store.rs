//! Stand-in for the platform's store: `kv-range` and `kv-watch` over HTTP/1.1.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_request, write_response};

/// Age up to which changes are kept: `historyS`.
const HISTORY: Duration = Duration::from_secs(20);
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, (String, u64)>,
    /// Time, revision and key of each change with the value that was written, oldest first.
    history: Vec<(Instant, u64, String, Option<String>)>,
    /// Revision up to which the history was dropped.
    dropped: u64,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
    pub address: SocketAddr,
}

impl Contents {
    fn record(&mut self, revision: u64, key: &str, value: Option<String>) {
        let change = (Instant::now(), revision, key.to_owned(), value);
        self.history.push(change);
    }

    /// Drops the changes that are older than the history that the platform keeps.
    fn drop_old(&mut self) {
        let old = self.history.iter();
        let old = old.take_while(|(at, ..)| at.elapsed() > HISTORY).count();
        if let Some((_, revision, ..)) = self.history.drain(..old).last() {
            self.dropped = revision;
        }
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let contents = Contents {
            revision: 10,
            ..Contents::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(contents), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.shared.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        contents.record(revision, key, Some(value.to_owned()));
        self.shared.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut contents = self.shared.0.lock().unwrap();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            let revision = contents.revision;
            contents.record(revision, key, None);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = read_request(&mut stream, &mut buf) {
            let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
            let param = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
            };
            let number = |name| param(name).parse::<u64>().unwrap_or(0);
            let (status, body) = match path {
                "/v1/kv-range" => (200, self.range(param("prefix"), param("after"))),
                "/v1/kv-watch" => self.watch(
                    param("prefix"),
                    number("after"),
                    Duration::from_millis(number("waitMs")),
                ),
                _ => (404, String::from("{}")),
            };
            thread::sleep(ANSWER_TIME);
            if write_response(&mut stream, status, &[], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.shared.0.lock().unwrap();
        let items = contents.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"asOf\":{}}}",
            items.join(","),
            contents.revision
        )
    }

    /// Status and body of the answer to a watch.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut contents = self.shared.0.lock().unwrap();
        loop {
            contents.drop_old();
            if after < contents.dropped {
                return (410, String::from("{}"));
            }
            let events: Vec<_> = contents
                .history
                .iter()
                .filter(|(_, revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, revision, key, value)| match value {
                    Some(value) => item_json(key, &(value.clone(), *revision)),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"removed\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = contents.revision;
                let body = format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(","));
                return (200, body);
            }
            contents = self.shared.1.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, (value, revision): &(String, u64)) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(*chunk.get(i).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let index = (bits >> (18 - 6 * i)) as usize & 63;
            text.push(if i <= chunk.len() {
                char::from(ALPHABET[index])
            } else {
                '='
            });
        }
    }
    text
}
