//! [`Store`].

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Request;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

/// Contents of the store, of which a copy may be kept.
#[derive(Clone, Debug)]
pub struct Contents {
    items: BTreeMap<String, Item>,
    /// Revisions and keys of the changes, oldest first.
    history: Vec<(u64, String)>,
    revision: u64,
}

struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    is_silent: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let contents = Contents {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
        };
        let state = State {
            contents,
            era: 1,
            is_away: false,
            is_silent: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let store = Self { shared, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
        };
        contents.items.insert(key.to_owned(), item);
        contents.history.push((revision, key.to_owned()));
        drop(state);
        self.shared.changed.notify_all();
    }

    pub fn contains(&self, key: &str) -> bool {
        self.lock().contents.items.contains_key(key)
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        let contents = &mut state.contents;
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            contents.history.push((contents.revision, key.to_owned()));
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Takes a copy of the contents.
    pub fn copy(&self) -> Contents {
        self.lock().contents.clone()
    }

    /// Goes away: calls are answered with 503, which means that nothing was done.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.shared.changed.notify_all();
    }

    /// Stops to answer, or goes on. A channel on which an answer was due stays silent.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.shared.changed.notify_all();
    }

    /// Comes back from a copy, in a new era.
    pub fn come_back(&self, copy: Contents) {
        let mut state = self.lock();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.shared.changed.notify_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().expect("no panic")
    }

    fn serve(&self, stream: TcpStream) {
        let mut from = BufReader::new(stream);
        // The node may close the connection at any time.
        while let Ok(Some(req)) = Request::read(&mut from) {
            let Some((status, era, body)) = self.answer(&req) else {
                return self.stay_silent(&mut from);
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let written = from
                .get_mut()
                .write_all(&[head.as_bytes(), body.as_bytes()].concat());
            if written.is_err() {
                return;
            }
        }
    }

    /// Keeps a channel open until the node closes it.
    fn stay_silent(&self, from: &mut BufReader<TcpStream>) {
        while matches!(Request::read(from), Ok(Some(_))) {}
    }

    /// The answer to a request; `None` if the store is silent.
    fn answer(&self, req: &Request) -> Option<(u16, u64, String)> {
        let away = |state: &State| Some((503, state.era, r#"{"err":"busy"}"#.to_owned()));
        let mut state = self.lock();
        if state.is_silent {
            return None;
        }
        if state.is_away {
            return away(&state);
        }
        match req.path() {
            "/v1/kv-range" => {
                let range = state
                    .contents
                    .range(req.query("prefix"), req.query("after"));
                Some((200, state.era, range))
            }
            "/v1/kv-watch" => {
                let prefix = req.query("prefix").to_owned();
                let after = req.query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(req.query("waitMs").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                let era = state.era;
                loop {
                    if state.is_silent {
                        return None;
                    }
                    if state.is_away {
                        return away(&state);
                    }
                    if state.era != era || after > state.contents.revision {
                        let body = r#"{"err":"history is gone"}"#.to_owned();
                        return Some((410, state.era, body));
                    }
                    let events = state.contents.events(&prefix, after);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"asOf":{}}}"#,
                            events.join(","),
                            state.contents.revision
                        );
                        return Some((200, state.era, body));
                    }
                    state = self
                        .shared
                        .changed
                        .wait_timeout(state, left)
                        .expect("no panic")
                        .0;
                }
            }
            _ => Some((404, state.era, r#"{"err":"no such call"}"#.to_owned())),
        }
    }
}

impl Contents {
    fn item(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            r#"{{"key":"{key}","value":"{}","rev":{},"created":{},"lease":0}}"#,
            base64(&item.value),
            item.revision,
            item.created
        ))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let keys = self
            .items
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = keys.filter_map(|key| self.item(key)).collect();
        format!(
            r#"{{"items":[{}],"morePages":false,"asOf":{}}}"#,
            items.join(","),
            self.revision
        )
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let changes = self
            .history
            .iter()
            .filter(|(revision, key)| *revision > after && key.starts_with(prefix));
        let event = |(revision, key): &(u64, String)| {
            let removed = || format!(r#"{{"key":"{key}","rev":{revision},"removed":true}}"#);
            self.item(key).unwrap_or_else(removed)
        };
        changes.map(event).collect()
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0_u32, |bits, byte| (bits << 8) | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n)) as usize & 63];
            text.push(if n <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
