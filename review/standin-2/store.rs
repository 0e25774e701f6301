//! The platform's store, with a history that can come back from a copy.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Channel, Head, response};

#[derive(Clone, Default)]
pub struct Contents {
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value (`None`: removed) of each change.
    events: Vec<(u64, String, Option<String>)>,
    rev: u64,
}

struct Inner {
    contents: Contents,
    era: u64,
    /// While the store is away it answers 503: nothing was done.
    away: bool,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Inner>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let contents = Contents { rev: 1, ..Contents::default() };
        let inner = Inner { contents, era: 1, away: false };
        let store = Self { shared: Arc::new((Mutex::new(inner), Condvar::new())), addr };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item; returns when the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.to_owned()));
    }

    fn write(&self, key: &str, value: Option<String>) {
        let (lock, changed) = &*self.shared;
        let mut inner = lock.lock().unwrap();
        if inner.away {
            return;
        }
        let contents = &mut inner.contents;
        contents.rev += 1;
        let rev = contents.rev;
        match &value {
            Some(text) => contents.items.insert(key.to_owned(), (rev, text.clone())),
            None => contents.items.remove(key),
        };
        contents.events.push((rev, key.to_owned(), value));
        changed.notify_all();
    }

    pub fn copy(&self) -> Contents {
        self.shared.0.lock().unwrap().contents.clone()
    }

    pub fn go_away(&self) {
        let (lock, changed) = &*self.shared;
        lock.lock().unwrap().away = true;
        changed.notify_all();
    }

    /// Comes back with the contents of a copy, in the next era.
    pub fn come_back(&self, copy: Contents) {
        let (lock, changed) = &*self.shared;
        let mut inner = lock.lock().unwrap();
        inner.contents = copy;
        inner.era += 1;
        inner.away = false;
        changed.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(head) = channel.read_head() {
            if channel.read_body(&head).is_err() {
                return;
            }
            let (status, body, era) = self.answer(&head);
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            // An answer of the network's usual delay.
            thread::sleep(Duration::from_millis(4));
            if channel.write(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (&'static str, String, u64) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v.replace("%2F", "/")).unwrap_or_default()
        };
        let (lock, changed) = &*self.shared;
        let mut inner = lock.lock().unwrap();
        if inner.away {
            return ("503 Service Unavailable", "{\"err\":\"away\"}".to_owned(), inner.era);
        }
        let prefix = param("prefix");
        match path {
            "/v1/kv-range" => {
                let after = param("after");
                let contents = &inner.contents;
                let items = contents.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, (rev, value))| item(key, *rev, value)).collect();
                let rev = contents.rev;
                let body = format!("{{\"items\":[{}],\"morePages\":false,\"asOf\":{rev}}}", items.join(","));
                ("200 OK", body, inner.era)
            }
            "/v1/kv-watch" => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait: u64 = param("waitMs").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
                let era = inner.era;
                loop {
                    if inner.away {
                        return ("503 Service Unavailable", "{\"err\":\"away\"}".to_owned(), inner.era);
                    }
                    if after > inner.contents.rev || inner.era != era {
                        return ("410 Gone", "{\"err\":\"history is gone\"}".to_owned(), inner.era);
                    }
                    let events = inner.contents.events.iter();
                    let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<_> = events
                        .map(|(rev, key, value)| match value {
                            Some(value) => item(key, *rev, value),
                            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}"),
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let rev = inner.contents.rev;
                        let body = format!("{{\"events\":[{}],\"asOf\":{rev}}}", events.join(","));
                        return ("200 OK", body, inner.era);
                    }
                    inner = changed.wait_timeout(inner, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{\"err\":\"no such call\"}".to_owned(), inner.era),
        }
    }
}

fn item(key: &str, rev: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n = group.iter().fold(0u32, |n, byte| (n << 8) | u32::from(*byte)) << (8 * (3 - group.len()));
        for i in 0..4 {
            if i <= group.len() {
                text.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
